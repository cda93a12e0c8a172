package org.magnoliaseam.testbed.proof;

import java.util.function.Consumer;
import org.magnoliaseam.testbed.harness.Signal;
import org.magnoliaseam.testbed.proxy.Fault;

/** Lists the faults that occur while an order is sent several times under one ticket. */
enum TicketFault {
    NONE(1, TicketTrial::sendAndAwaitAnswer),
    SENT_MANY_TIMES_AT_ONCE(
            1,
            trial -> {
                trial.sendTwiceAtOnce(trial.forwarder());
                trial.sendTwiceAtOnce(trial.other());
                trial.sendTwiceAtOnce(trial.issuer());
            }),
    ISSUER_KILLED_BEFORE_CALL(
            0,
            trial -> {
                trial.kill(trial.issuer());
                trial.send(trial.forwarder());
                trial.sendTwiceAtOnce(trial.other());
            }),
    ISSUER_KILLED_DURING_CALL(
            1,
            trial -> {
                trial.ledger().control("{\"delayMillis\":700}");
                trial.sendAndAwaitRun();
                trial.kill(trial.issuer());
                trial.sendTwiceAtOnce(trial.other());
            }),
    ISSUER_KILLED_AFTER_CALL(
            1,
            trial -> {
                trial.sendAndAwaitAnswer();
                trial.kill(trial.issuer());
                trial.sendTwiceAtOnce(trial.other());
            }),
    FORWARDER_KILLED_DURING_CALL(
            1,
            trial -> {
                trial.ledger().control("{\"delayMillis\":700}");
                trial.sendAndAwaitRun();
                trial.kill(trial.forwarder());
                trial.sendTwiceAtOnce(trial.other());
            }),
    LEDGER_KILLED_BEFORE_CALL(
            0,
            trial -> {
                trial.ledger().kill();
                trial.sendAndAwaitAnswer();
                trial.ledger().restart();
                trial.sendTwiceAtOnce(trial.other());
            }),
    LEDGER_KILLED_DURING_CALL(
            1,
            trial -> {
                trial.ledger().control("{\"delayMillis\":700}");
                trial.sendAndAwaitRun();
                trial.ledger().kill();
                trial.ledger().restart();
                trial.sendTwiceAtOnce(trial.other());
            }),
    LEDGER_RESETS_BEFORE_RUN(
            0,
            trial -> {
                trial.ledger().control("{\"resetBefore\":1}");
                trial.sendAndAwaitAnswer();
                trial.sendTwiceAtOnce(trial.other());
            }),
    LEDGER_RESETS_AFTER_RUN(
            1,
            trial -> {
                trial.ledger().control("{\"resetAfterRun\":1}");
                trial.sendAndAwaitAnswer();
                trial.sendTwiceAtOnce(trial.other());
            }),
    LEDGER_ANSWERS_LATE(
            1,
            trial -> {
                trial.ledger().control("{\"delayMillis\":1500}");
                trial.sendAndAwaitRun();
                trial.sendTwiceAtOnce(trial.other());
                trial.send(trial.issuer());
            }),
    LINK_CUT_BEFORE_CALL(
            1,
            trial -> {
                trial.breakLink(trial.issuer(), trial.forwarder(), Fault.CUT);
                trial.sendAndAwaitAnswer();
                trial.sendTwiceAtOnce(trial.other());
            }),
    LINK_CUT_DURING_CALL(1, trial -> breakDuringCall(trial, Fault.CUT)),
    LINK_BLACKHOLED_BEFORE_CALL(
            1,
            trial -> {
                trial.breakLink(trial.issuer(), trial.forwarder(), Fault.BLACKHOLE);
                trial.send(trial.forwarder());
                trial.sendTwiceAtOnce(trial.other());
                trial.awaitAnswers();
            }),
    LINK_BLACKHOLED_DURING_CALL(1, trial -> breakDuringCall(trial, Fault.BLACKHOLE)),
    ISSUER_FROZEN_BEFORE_CALL(
            0,
            trial -> {
                trial.signal(trial.issuer(), Signal.STOP);
                trial.send(trial.forwarder());
                trial.sendTwiceAtOnce(trial.other());
                trial.awaitAnswers();
            }),
    ISSUER_FROZEN_DURING_CALL(
            1,
            trial -> {
                trial.ledger().control("{\"delayMillis\":500}");
                trial.sendAndAwaitRun();
                trial.signal(trial.issuer(), Signal.STOP);
                trial.sendTwiceAtOnce(trial.other());
                trial.awaitAnswers();
            }),
    FORWARDER_FROZEN_DURING_CALL(
            1,
            trial -> {
                trial.ledger().control("{\"delayMillis\":500}");
                trial.sendAndAwaitRun();
                trial.signal(trial.forwarder(), Signal.STOP);
                trial.send(trial.other()).join();
            }),
    LISTS_DIFFER(
            1,
            trial -> {
                trial.stopListUpdates(trial.forwarder());
                trial.setState(trial.issuer(), "leaving");
                trial.send(trial.forwarder());
                trial.sendTwiceAtOnce(trial.other());
                trial.awaitAnswers();
                trial.setState(trial.issuer(), "live");
            });

    private final int mMinRuns;
    private final Consumer<TicketTrial> mScript;

    TicketFault(int minRuns, Consumer<TicketTrial> script) {
        mMinRuns = minRuns;
        mScript = script;
    }

    int minRuns() {
        return mMinRuns;
    }

    void inject(TicketTrial trial) {
        mScript.accept(trial);
    }

    private static void breakDuringCall(TicketTrial trial, Fault fault) {
        trial.ledger().control("{\"delayMillis\":500}");
        trial.sendAndAwaitRun();
        trial.breakLink(trial.issuer(), trial.forwarder(), fault);
        trial.sendTwiceAtOnce(trial.other());
        trial.awaitAnswers();
    }
}
