package org.magnoliaseam.peer;

import org.magnoliaseam.exchange.ForwardedRequest;

/** Assembles one request that a peer forwards from its start and the parts of its body. */
final class RequestAssembler {

    /** The request without its body. */
    private final ForwardedRequest mRequest;

    /** The announced body, filled from the start. */
    private final byte[] mBody;

    /** The bytes that have arrived. */
    private int mArrived;

    /**
     * Creates an assembler for a request whose body has not arrived.
     *
     * @param request the request without its body
     * @param bodyBytes the announced length of the body
     */
    RequestAssembler(ForwardedRequest request, int bodyBytes) {
        mRequest = request;
        mBody = new byte[bodyBytes];
    }

    /**
     * Returns the announced length of the body.
     *
     * @return the length in bytes
     */
    int bodyBytes() {
        return mBody.length;
    }

    /**
     * Appends a part of the body.
     *
     * @param bytes the part
     * @return whether it fits the announced length
     */
    boolean append(byte[] bytes) {
        if (bytes.length > mBody.length - mArrived) {
            return false;
        }
        System.arraycopy(bytes, 0, mBody, mArrived, bytes.length);
        mArrived += bytes.length;
        return true;
    }

    /**
     * Returns whether the whole body has arrived.
     *
     * @return true if it has
     */
    boolean complete() {
        return mArrived == mBody.length;
    }

    /**
     * Returns the request with its body.
     *
     * @return the request
     */
    ForwardedRequest request() {
        return new ForwardedRequest(
                mRequest.id(),
                mRequest.purpose(),
                mRequest.from(),
                mRequest.account(),
                mRequest.requestClass(),
                mRequest.ticket(),
                mRequest.method(),
                mRequest.path(),
                mRequest.headers(),
                mBody,
                mRequest.waitedMillis());
    }
}
