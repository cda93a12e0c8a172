package org.magnoliaseam.backend;

import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.magnoliaseam.exchange.AnswerHead;
import org.magnoliaseam.exchange.Header;
import org.magnoliaseam.model.RequestId;

/** Translates the events of one HTTP exchange into calls of a {@link BackendListener}. */
final class BackendExchange {

    /** The header field with which a backend server states that it did not start a request. */
    private static final String STARTED_HEADER = "X-Started";

    /** The value of {@link #STARTED_HEADER} for a request that was not started. */
    private static final String NOT_STARTED = "no";

    /** The request. */
    private final RequestId mId;

    /** The listener. */
    private final BackendListener mListener;

    /** Reads the body and names failures. */
    private final AnswerPump mPump;

    /** Whether a byte of the request may have been sent. */
    private volatile boolean mSending;

    /** Whether the request was stopped right before its first byte. */
    private volatile boolean mHeldBack;

    /** Whether the backend server refused before the start. */
    private volatile boolean mRefused;

    /** Whether the answer names another request. */
    private volatile boolean mMismatched;

    /**
     * Creates the translation.
     *
     * @param id the request
     * @param listener takes the answer
     */
    BackendExchange(RequestId id, BackendListener listener) {
        mId = id;
        mListener = listener;
        mPump = new AnswerPump(listener, () -> mRefused);
    }

    /**
     * Takes the news that the request is about to be written to a connection, and stops it if it
     * must not be sent any more.
     *
     * @param request the request
     */
    void sending(Request request) {
        mSending = mListener.sending();
        mHeldBack = !mSending;
        if (mHeldBack) {
            request.abort(new CallCancelledException());
        }
    }

    /**
     * Takes the header fields of the answer.
     *
     * @param response the answer
     */
    void head(Response response) {
        String echoed = response.getHeaders().get(JettyBackendClient.REQUEST_ID_HEADER);
        if (echoed != null && !echoed.equals(mId.value())) {
            mMismatched = true;
            response.abort(new CallCancelledException());
            return;
        }
        String started = response.getHeaders().get(STARTED_HEADER);
        if (response.getStatus() == HttpStatus.SERVICE_UNAVAILABLE_503
                && NOT_STARTED.equals(started)) {
            mRefused = true;
            return;
        }
        List<Header> headers = new ArrayList<>();
        for (HttpField field : response.getHeaders()) {
            headers.add(new Header(field.getName(), field.getValue()));
        }
        mListener.head(new AnswerHead(response.getStatus(), headers));
    }

    /**
     * Takes the body of the answer and reads it as fast as the listener lets it.
     *
     * @param response the answer
     * @param source the body
     */
    void content(Response response, Content.Source source) {
        mPump.content(response, source);
    }

    /**
     * Takes the end of the exchange.
     *
     * @param result the outcome
     */
    void complete(Result result) {
        if (mHeldBack) {
            mListener.failed(BackendFailure.HELD_BACK, "The facts changed before the send.");
        } else if (mRefused) {
            mListener.failed(
                    BackendFailure.REFUSED, "The backend server refused before the start.");
        } else if (mMismatched) {
            mListener.failed(BackendFailure.MISMATCHED, "The answer names another request.");
        } else if (result.isSucceeded()) {
            mListener.ended();
        } else {
            mPump.fail(mSending, result.getFailure());
        }
    }
}
