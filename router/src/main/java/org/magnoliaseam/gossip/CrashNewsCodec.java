package org.magnoliaseam.gossip;

import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import org.magnoliaseam.suspect.AnswerNotice;
import org.magnoliaseam.suspect.CrashNews;
import org.magnoliaseam.suspect.CrashNotice;
import org.magnoliaseam.suspect.RequestMark;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes news of crashes of backend servers with MessagePack. */
final class CrashNewsCodec {

    /** Prevents instances of this utility class. */
    private CrashNewsCodec() {}

    /**
     * Encodes news.
     *
     * @param news the news
     * @param packer receives the bytes
     * @throws IOException if the packer cannot write
     */
    static void encode(CrashNews news, MessagePacker packer) throws IOException {
        packer.packArrayHeader(news.crashes().size());
        for (CrashNotice crash : news.crashes()) {
            packer.packLong(crash.server());
            packer.packLong(crash.domain());
            packer.packLong(crash.crashAgeMillis());
            packer.packLong(crash.sentAgeMillis());
            packer.packLong(crash.useAgeMillis());
            packer.packLong(crash.triedAgeMillis());
            encode(crash.marks(), packer);
            encode(crash.lasted(), packer);
        }
        packer.packArrayHeader(news.answers().size());
        for (AnswerNotice answer : news.answers()) {
            packer.packLong(answer.mark().value());
            packer.packLong(answer.ageMillis());
        }
        packer.packArrayHeader(news.survivors().size());
        for (long server : news.survivors()) {
            packer.packLong(server);
        }
    }

    /**
     * Encodes marks.
     *
     * @param marks the marks
     * @param packer receives the bytes
     * @throws IOException if the packer cannot write
     */
    private static void encode(Set<RequestMark> marks, MessagePacker packer) throws IOException {
        packer.packArrayHeader(marks.size());
        for (RequestMark mark : marks) {
            packer.packLong(mark.value());
        }
    }

    /**
     * Decodes news.
     *
     * @param unpacker reads the digest
     * @return the news
     * @throws IOException if they are malformed
     */
    static CrashNews decode(MessageUnpacker unpacker) throws IOException {
        return new CrashNews(
                DigestCodec.list(unpacker, CrashNewsCodec::crash),
                DigestCodec.list(unpacker, CrashNewsCodec::answer),
                DigestCodec.list(unpacker, MessageUnpacker::unpackLong));
    }

    /**
     * Reads the notice of a crash.
     *
     * @param unpacker reads the digest
     * @return the notice
     * @throws IOException if the element is malformed
     */
    private static CrashNotice crash(MessageUnpacker unpacker) throws IOException {
        long server = unpacker.unpackLong();
        long domain = unpacker.unpackLong();
        long crashAge = unpacker.unpackLong();
        long sentAge = unpacker.unpackLong();
        long useAge = unpacker.unpackLong();
        long triedAge = unpacker.unpackLong();
        Set<RequestMark> marks = marks(unpacker);
        return new CrashNotice(
                server, domain, crashAge, sentAge, useAge, triedAge, marks, marks(unpacker));
    }

    /**
     * Reads marks.
     *
     * @param unpacker reads the digest
     * @return the marks
     * @throws IOException if the element is malformed
     */
    private static Set<RequestMark> marks(MessageUnpacker unpacker) throws IOException {
        return Set.copyOf(new HashSet<>(DigestCodec.list(unpacker, CrashNewsCodec::mark)));
    }

    /**
     * Reads the notice of an answer.
     *
     * @param unpacker reads the digest
     * @return the notice
     * @throws IOException if the element is malformed
     */
    private static AnswerNotice answer(MessageUnpacker unpacker) throws IOException {
        return new AnswerNotice(mark(unpacker), unpacker.unpackLong());
    }

    /**
     * Reads a mark.
     *
     * @param unpacker reads the digest
     * @return the mark
     * @throws IOException if the element is malformed
     */
    private static RequestMark mark(MessageUnpacker unpacker) throws IOException {
        return new RequestMark(unpacker.unpackLong());
    }
}
