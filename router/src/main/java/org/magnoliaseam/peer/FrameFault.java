package org.magnoliaseam.peer;

/** Lists the reasons why a reader closes its connection. */
enum FrameFault {
    /** The peer closed the connection between two frames. */
    CLOSED("the peer closed the connection"),
    /** The frame ended within a field, or the connection ended in the middle of the frame. */
    TRUNCATED("a frame is truncated"),
    /** The length of the frame is out of range. */
    OVERSIZED("the length of a frame is out of range"),
    /** The authentication code of the frame does not match its bytes and its position. */
    FORGED("the authentication code of a frame is wrong"),
    /** The frame has an unknown type. */
    UNKNOWN_TYPE("a frame has an unknown type"),
    /** A field of the frame has the wrong type or is out of range. */
    MALFORMED("a frame is malformed"),
    /** The frame may not be sent in this direction or state. */
    UNEXPECTED("a frame was not expected"),
    /** The peer did not prove that it holds the key, or is not the peer that was dialled. */
    UNAUTHENTICATED("the peer did not authenticate"),
    /** The peer speaks another version of the protocol. */
    OTHER_VERSION("the peer speaks another protocol version"),
    /** Nothing arrived within the time limit. */
    SILENT("nothing arrived within the time limit"),
    /** The connection failed. */
    LOST("the connection was lost");

    /** The reason in the log. */
    private final String mText;

    /**
     * Creates a fault.
     *
     * @param text the reason in the log
     */
    FrameFault(String text) {
        mText = text;
    }

    /**
     * Returns the reason for the log.
     *
     * @return the reason without a full stop
     */
    String text() {
        return mText;
    }
}
