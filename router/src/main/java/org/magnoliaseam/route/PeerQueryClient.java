package org.magnoliaseam.route;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.magnoliaseam.exchange.Cancellation;
import org.magnoliaseam.exchange.ForwardPurpose;
import org.magnoliaseam.exchange.ForwardedRequest;
import org.magnoliaseam.model.ClientAccountId;
import org.magnoliaseam.model.RequestClassId;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.operator.PeerPages;
import org.magnoliaseam.peer.PeerNetwork;

/**
 * Requests a page from all other entry VMs in parallel and waits for the answers for a bounded
 * time.
 */
public final class PeerQueryClient implements PeerPages {

    /** The time limit for all answers in milliseconds. */
    private static final long TIMEOUT_MILLIS = 1_000;

    /** The client account and request class in queries, which no request of a caller uses. */
    private static final String OPERATOR = "operator";

    /** This entry VM. */
    private final VmId mSelf;

    /** Sends to peers. */
    private final PeerNetwork mNetwork;

    /** Returns the other entry VMs. */
    private final Supplier<List<VmId>> mPeers;

    /** Creates the IDs of queries. */
    private final Supplier<RequestId> mIds;

    /**
     * Creates a client.
     *
     * @param self this entry VM
     * @param network sends to peers
     * @param peers returns the other entry VMs
     * @param ids creates the IDs of queries
     */
    public PeerQueryClient(
            VmId self, PeerNetwork network, Supplier<List<VmId>> peers, Supplier<RequestId> ids) {
        mSelf = self;
        mNetwork = network;
        mPeers = peers;
        mIds = ids;
    }

    @Override
    public Map<VmId, Optional<String>> ask(String path) {
        Map<VmId, QueryAnswerSink> sinks = new LinkedHashMap<>();
        Map<VmId, Cancellation> exchanges = new LinkedHashMap<>();
        for (VmId peer : mPeers.get()) {
            QueryAnswerSink sink = new QueryAnswerSink();
            sinks.put(peer, sink);
            exchanges.put(peer, mNetwork.forward(peer, query(path), sink));
        }
        await(sinks);
        Map<VmId, Optional<String>> answers = new LinkedHashMap<>();
        sinks.forEach((peer, sink) -> answers.put(peer, sink.answer().getNow(Optional.empty())));
        exchanges.values().forEach(Cancellation::cancel);
        return answers;
    }

    /**
     * Waits until every peer has answered or the time limit has passed.
     *
     * @param sinks the sinks that collect the answers
     */
    private static void await(Map<VmId, QueryAnswerSink> sinks) {
        CompletableFuture<?>[] answers =
                sinks.values().stream()
                        .map(QueryAnswerSink::answer)
                        .toArray(CompletableFuture[]::new);
        try {
            CompletableFuture.allOf(answers).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException | ExecutionException e) {
            // The result has an empty entry for each peer without an answer.
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Creates a query.
     *
     * @param path the path
     * @return the query
     */
    private ForwardedRequest query(String path) {
        return new ForwardedRequest(
                mIds.get(),
                ForwardPurpose.OPERATOR_QUERY,
                mSelf,
                new ClientAccountId(OPERATOR),
                new RequestClassId(OPERATOR),
                "",
                "GET",
                path,
                List.of(),
                new byte[0],
                0);
    }
}
