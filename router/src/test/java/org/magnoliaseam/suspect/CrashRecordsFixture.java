package org.magnoliaseam.suspect;

import java.util.List;
import java.util.concurrent.TimeUnit;

/** Holds records of crashes that a test fills. */
abstract class CrashRecordsFixture {

    static final long DOMAIN = 1;
    static final RequestMark BASE = part("base");
    static final RequestMark ACCOUNT = part("account");
    static final RequestMark CRASHING = part("crashing");
    static final RequestMark OTHER = part("other");

    final CrashRecords mRecords = new CrashRecords();

    static RequestMark part(String id) {
        return RequestMark.ofPart("engines", id);
    }

    static RequestMark whole(int number) {
        return RequestMark.ofRequest("account", "POST /p", new byte[] {(byte) number});
    }

    static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    void crash(long server, long crashMillis, RequestMark... marks) {
        crashIn(DOMAIN, server, crashMillis, marks);
    }

    void crashIn(long domain, long server, long crashMillis, RequestMark... marks) {
        mRecords.crashed(
                server, domain, millis(crashMillis), millis(crashMillis - 100), List.of(marks));
    }

    SuspectVerdict verdict(long nowMillis, RequestMark... marks) {
        return mRecords.verdict(List.of(marks), millis(nowMillis));
    }
}
