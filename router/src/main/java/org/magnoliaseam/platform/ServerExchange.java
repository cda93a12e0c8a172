package org.magnoliaseam.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.magnoliaseam.backend.BackendEndPoint;
import org.magnoliaseam.backend.BackendFailure;
import org.magnoliaseam.backend.CallCancelledException;
import org.magnoliaseam.backend.FinalStatus;
import org.magnoliaseam.backend.ResponseBodyReader;
import org.magnoliaseam.backend.ResponseEnd;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.Header;
import org.magnoliaseam.gateway.AttemptListener;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.pushback.NoticeFault;
import org.magnoliaseam.pushback.PushbackNotice;

/** Reads the response of a backend server and checks that it belongs to the request. */
final class ServerExchange {

    /** The value of the header field of a backend server that is leaving. */
    private static final String LEAVING = "1";

    /** The statuses that callers read as a statement that the request did not run. */
    private static final Set<Integer> NOT_RUN_STATUSES =
            Set.of(
                    HttpStatus.REQUEST_TIMEOUT_408,
                    HttpStatus.TOO_MANY_REQUESTS_429,
                    HttpStatus.SERVICE_UNAVAILABLE_503);

    /** The statuses of a backend server that is full. */
    private static final Set<Integer> FULL_STATUSES =
            Set.of(HttpStatus.TOO_MANY_REQUESTS_429, HttpStatus.SERVICE_UNAVAILABLE_503);

    /** The request. */
    private final RequestId mId;

    /** Whether the request may run more than once. */
    private final boolean mRepeatable;

    /** Receives the response. */
    private final AttemptListener mListener;

    /** Reads the body and classifies failures. */
    private final ResponseBodyReader mBodyReader;

    /** Whether a byte of the request may have been sent. */
    private volatile boolean mSending;

    /** Whether the listener stopped the request before its first byte was sent. */
    private volatile boolean mHeldBack;

    /** Why the response cannot be used; null while it can. */
    private volatile BackendFailure mFailure;

    /** Tells whether the response ended with its connection. */
    private final ResponseEnd mEnd = new ResponseEnd();

    /** Whether the backend server asked for no requests for a time, or is full for a short one. */
    private volatile boolean mPushedBack;

    /** Describes {@link #mFailure} in one sentence. */
    private volatile String mDetail = "";

    /**
     * Creates an exchange.
     *
     * @param id the request
     * @param repeatable whether it may run more than once
     * @param listener receives the response
     */
    ServerExchange(RequestId id, boolean repeatable, AttemptListener listener) {
        mId = id;
        mRepeatable = repeatable;
        mListener = listener;
        mBodyReader = new ResponseBodyReader(listener, () -> mFailure != null);
    }

    /**
     * Asks the listener whether the request may still be sent, and aborts it if not.
     *
     * @param request the request about to be sent
     */
    void sending(Request request) {
        mSending = mListener.sending();
        mHeldBack = !mSending;
        BackendEndPoint.of(request)
                .ifPresent(endPoint -> mListener.connected(endPoint.openedNanos()));
        if (mHeldBack) {
            request.abort(new CallCancelledException());
        }
    }

    /** Records that the request has been written. */
    void written() {
        mEnd.written();
    }

    /**
     * Checks the status and header fields and passes them to the listener.
     *
     * @param response the response
     */
    void head(Response response) {
        mEnd.head(response);
        HttpFields fields = response.getHeaders();
        String id = fields.get(WireNames.REQUEST_ID);
        if (!mId.value().equals(id)) {
            markUnusable(response, BackendFailure.MISMATCHED, "The answer names another request.");
            return;
        }
        int status = response.getStatus();
        if (!FinalStatus.isValid(status)) {
            markUnusable(response, BackendFailure.MISMATCHED, FinalStatus.INVALID);
            return;
        }
        load(fields.get(WireNames.LOAD));
        if (status != HttpStatus.MISDIRECTED_REQUEST_421) {
            notices(fields, status);
        }
        if (status == HttpStatus.MISDIRECTED_REQUEST_421) {
            markUnusable(
                    response, BackendFailure.REFUSED, "Another backend server has the address.");
        } else if (fields.contains(WireNames.NOT_EXECUTED)) {
            refused(response, status);
        } else if (!mRepeatable && NOT_RUN_STATUSES.contains(status)) {
            markUnusable(
                    response,
                    BackendFailure.SERVER_ERROR,
                    "The status " + status + " came without the statement that nothing ran.");
        } else if (HttpStatus.isSuccess(status) && !fields.contains(WireNames.SIGNATURE)) {
            markUnusable(response, BackendFailure.MISMATCHED, "The answer has no signature.");
        } else if (fields.contains(HttpHeader.CONTENT_ENCODING)) {
            markUnusable(response, BackendFailure.MISMATCHED, "The answer is encoded.");
        } else {
            List<Header> headers = new ArrayList<>();
            for (HttpField field : fields) {
                headers.add(new Header(field.getName(), field.getValue()));
            }
            mListener.head(new AnswerHead(status, headers));
        }
    }

    /**
     * Reads the part of the body that has arrived.
     *
     * @param response the response
     * @param source the body
     */
    void content(Response response, Content.Source source) {
        mBodyReader.content(response, source);
    }

    /**
     * Reports the end of the exchange to the listener.
     *
     * @param result the outcome
     */
    void complete(Result result) {
        if (mHeldBack) {
            mListener.failed(BackendFailure.HELD_BACK, "The facts changed before the send.");
        } else if (mFailure != null) {
            mListener.failed(mFailure, mDetail);
        } else if (result.isSucceeded() && mEnd.wasReset()) {
            mListener.failed(BackendFailure.CONNECTION_LOST, "The connection was reset.");
        } else if (result.isSucceeded()) {
            mListener.ended();
        } else {
            mBodyReader.fail(mSending, result.getFailure());
        }
    }

    /**
     * Records that the backend server refused the request before it started it. The connection is
     * closed if the request may be sent there again, since a faulty server may write the refusal
     * once more.
     *
     * @param response the response
     * @param status its status
     */
    private void refused(Response response, int status) {
        String detail = "The backend server refused before the start, status " + status + ".";
        if (FULL_STATUSES.contains(status)) {
            mPushedBack |= mListener.full();
        }
        if (mPushedBack) {
            markUnusable(response, BackendFailure.REFUSED, detail);
        } else {
            mFailure = BackendFailure.REFUSED;
            mDetail = detail;
        }
    }

    /**
     * Marks the response as unusable and aborts it, which closes its connection.
     *
     * @param response the response
     * @param failure the kind of failure
     * @param detail one sentence for the decision record
     */
    private void markUnusable(Response response, BackendFailure failure, String detail) {
        mFailure = failure;
        mDetail = detail;
        response.abort(new CallCancelledException());
    }

    /**
     * Reads what the backend server states about itself.
     *
     * @param fields the header fields of its answer
     * @param status the status of its answer
     */
    private void notices(HttpFields fields, int status) {
        String leaving = fields.get(WireNames.LEAVING);
        if (LEAVING.equals(leaving)) {
            mListener.leaving();
        } else if (leaving != null) {
            mListener.faultyNotice(NoticeFault.UNKNOWN_LEAVING_VALUE);
        }
        PushbackNotice delay = RetryDelay.read(fields, status);
        delay.fault().ifPresent(mListener::faultyNotice);
        if (delay.millis() > 0) {
            mPushedBack = true;
            mListener.pushback(delay.millis());
        }
    }

    /**
     * Passes a reported load to the listener. A malformed one changes nothing that is known.
     *
     * @param text the value of the header field; null if it is absent
     */
    private void load(String text) {
        if (text != null) {
            LoadHeader.Decoded decoded = LoadHeader.decode(text);
            decoded.load().ifPresent(mListener::load);
            decoded.fault().ifPresent(mListener::faultyNotice);
        }
    }
}
