package org.magnoliaseam.platform;

import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.Content;
import org.magnoliaseam.backend.AnswerPump;
import org.magnoliaseam.backend.BackendFailure;
import org.magnoliaseam.backend.CallCancelledException;
import org.magnoliaseam.backend.ResetAwareEndPoint;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.Header;
import org.magnoliaseam.gateway.ReportedLoad;
import org.magnoliaseam.gateway.TryListener;
import org.magnoliaseam.model.RequestId;

/** Reads the answer of one backend server and checks that it belongs to the request. */
final class ServerExchange {

    /** The numbers in a stated load. */
    private static final int LOAD_NUMBERS = 3;

    /** The request. */
    private final RequestId mId;

    /** Takes the answer. */
    private final TryListener mListener;

    /** Reads the body and names failures. */
    private final AnswerPump mPump;

    /** Whether a byte of the request may have left. */
    private volatile boolean mSending;

    /** Whether the request was held back before its first byte. */
    private volatile boolean mHeldBack;

    /** Why the answer is unusable; null while it is usable. */
    private volatile BackendFailure mFault;

    /** The connection of the answer; null before its head. */
    private volatile Connection mConnection;

    /** What is wrong with the answer. */
    private volatile String mDetail = "";

    /**
     * Creates an exchange.
     *
     * @param id the request
     * @param listener takes the answer
     */
    ServerExchange(RequestId id, TryListener listener) {
        mId = id;
        mListener = listener;
        mPump = new AnswerPump(listener, () -> mFault != null);
    }

    /**
     * Asks whether the request may still be sent.
     *
     * @param request the request about to be sent
     */
    void sending(Request request) {
        mSending = mListener.sending();
        mHeldBack = !mSending;
        if (mHeldBack) {
            request.abort(new CallCancelledException());
        }
    }

    /**
     * Takes status and header fields.
     *
     * @param response the answer
     */
    void head(Response response) {
        mConnection = response.getRequest().getConnection();
        HttpFields fields = response.getHeaders();
        String id = fields.get(WireNames.REQUEST_ID);
        if (!mId.value().equals(id)) {
            fault(response, BackendFailure.MISMATCHED, "The answer names another request.");
            return;
        }
        load(fields.get(WireNames.LOAD));
        int status = response.getStatus();
        if (status == HttpStatus.MISDIRECTED_REQUEST_421) {
            mFault = BackendFailure.REFUSED;
            mDetail = "Another backend server has the address.";
        } else if (fields.contains(WireNames.NOT_EXECUTED)) {
            mFault = BackendFailure.REFUSED;
            mDetail = "The backend server refused before the start, status " + status + ".";
        } else if (HttpStatus.isSuccess(status) && !fields.contains(WireNames.SIGNATURE)) {
            fault(response, BackendFailure.MISMATCHED, "The answer has no signature.");
        } else if (fields.contains(HttpHeader.CONTENT_ENCODING)) {
            fault(response, BackendFailure.MISMATCHED, "The answer is encoded.");
        } else {
            List<Header> headers = new ArrayList<>();
            for (HttpField field : fields) {
                headers.add(new Header(field.getName(), field.getValue()));
            }
            mListener.head(new AnswerHead(status, headers));
        }
    }

    /**
     * Reads the body as far as it has come.
     *
     * @param response the answer
     * @param source the body
     */
    void content(Response response, Content.Source source) {
        mPump.content(response, source);
    }

    /**
     * Ends the exchange.
     *
     * @param result how it went
     */
    void complete(Result result) {
        if (mHeldBack) {
            mListener.failed(BackendFailure.HELD_BACK, "The facts changed before the send.");
        } else if (mFault != null) {
            mListener.failed(mFault, mDetail);
        } else if (result.isSucceeded() && reset()) {
            mListener.failed(BackendFailure.CONNECTION_LOST, "The connection was reset.");
        } else if (result.isSucceeded()) {
            mListener.ended();
        } else {
            mPump.fail(mSending, result.getFailure());
        }
    }

    /**
     * Tells whether the connection of the answer ended with a reset, after which an answer that
     * ends with its connection is not whole.
     *
     * @return true after a reset
     */
    private boolean reset() {
        return mConnection instanceof AbstractConnection connection
                && connection.getEndPoint() instanceof ResetAwareEndPoint endPoint
                && endPoint.wasReset();
    }

    /**
     * Marks the answer as unusable and closes its connection.
     *
     * @param response the answer
     * @param fault the kind of failure
     * @param detail what is wrong
     */
    private void fault(Response response, BackendFailure fault, String detail) {
        mFault = fault;
        mDetail = detail;
        response.abort(new CallCancelledException());
    }

    /**
     * Passes a stated load on.
     *
     * @param text the header field; null if there is none
     */
    private void load(String text) {
        if (text == null) {
            return;
        }
        String[] numbers = text.split(",");
        if (numbers.length != LOAD_NUMBERS) {
            return;
        }
        try {
            mListener.load(
                    new ReportedLoad(
                            Integer.parseInt(numbers[0].strip()),
                            Integer.parseInt(numbers[1].strip()),
                            Integer.parseInt(numbers[2].strip())));
        } catch (NumberFormatException e) {
            mDetail = "The stated load is malformed.";
        }
    }
}
