package org.magnoliaseam.peer;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.security.SecureRandom;
import org.magnoliaseam.model.Incarnation;
import org.magnoliaseam.model.VmId;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;

/**
 * Authenticates both sides of a new connection by a shared key. The dialling side sends a nonce,
 * the accepting side answers with its own nonce and an authentication code over both, and the
 * dialling side answers with its code. The codes cover the roles, both nonces and the identities of
 * both processes.
 */
final class Handshake {

    /** Labels the code of the accepting side. */
    private static final String ACCEPTING = "accepting";

    /** Labels the code of the dialling side. */
    private static final String DIALLING = "dialling";

    /** Labels the key of the frames from the dialling side. */
    private static final String DIALLING_FRAMES = "dialling frames";

    /** Labels the key of the frames from the accepting side. */
    private static final String ACCEPTING_FRAMES = "accepting frames";

    /** The length of a nonce in bytes. */
    private static final int NONCE_BYTES = 32;

    /** The largest accepted length of a VM's name in characters. */
    private static final int NAME_CHARS = 128;

    /** The run of this process. */
    private final PeerIdentity mSelf;

    /** The key of the site. */
    private final PeerKey mKey;

    /** Generates the nonces. */
    private final SecureRandom mRandom = new SecureRandom();

    /**
     * Creates the handshake of a process.
     *
     * @param self the run of this process
     * @param key the key of the site
     */
    Handshake(PeerIdentity self, PeerKey key) {
        mSelf = self;
        mKey = key;
    }

    /**
     * Authenticates on the dialling side.
     *
     * @param expected the VM that was dialled
     * @param in the connection
     * @param out the connection
     * @return the session
     * @throws IOException if the connection fails
     * @throws FrameException if the peer does not authenticate as the expected VM
     */
    Session dial(VmId expected, DataInputStream in, OutputStream out)
            throws IOException, FrameException {
        Greeting own = greeting();
        FrameStreams.writePlain(out, encode(own, new byte[0]));
        Signed challenge = decode(FrameStreams.readPlain(in));
        Greeting other = challenge.greeting();
        byte[] transcript = transcript(own, other);
        boolean proved = mKey.verifies(ACCEPTING, transcript, challenge.code());
        if (!proved || !other.identity().vm().equals(expected)) {
            throw new FrameException(FrameFault.UNAUTHENTICATED);
        }
        FrameStreams.writePlain(out, encode(own, mKey.code(DIALLING, transcript)));
        return new Session(
                other.identity(),
                new FrameAuthenticator(mKey.derive(ACCEPTING_FRAMES, transcript)),
                new FrameAuthenticator(mKey.derive(DIALLING_FRAMES, transcript)));
    }

    /**
     * Authenticates on the accepting side.
     *
     * @param in the connection
     * @param out the connection
     * @return the session
     * @throws IOException if the connection fails
     * @throws FrameException if the peer does not prove that it holds the key
     */
    Session accept(DataInputStream in, OutputStream out) throws IOException, FrameException {
        Greeting other = decode(FrameStreams.readPlain(in)).greeting();
        Greeting own = greeting();
        byte[] transcript = transcript(other, own);
        FrameStreams.writePlain(out, encode(own, mKey.code(ACCEPTING, transcript)));
        Signed proof = decode(FrameStreams.readPlain(in));
        boolean proved = mKey.verifies(DIALLING, transcript, proof.code());
        if (!proved || other.identity().vm().equals(mSelf.vm())) {
            throw new FrameException(FrameFault.UNAUTHENTICATED);
        }
        return new Session(
                other.identity(),
                new FrameAuthenticator(mKey.derive(DIALLING_FRAMES, transcript)),
                new FrameAuthenticator(mKey.derive(ACCEPTING_FRAMES, transcript)));
    }

    /**
     * Creates a greeting with a new nonce.
     *
     * @return the greeting
     */
    private Greeting greeting() {
        byte[] nonce = new byte[NONCE_BYTES];
        mRandom.nextBytes(nonce);
        return new Greeting(mSelf, nonce);
    }

    /**
     * Encodes both greetings into the transcript of the handshake.
     *
     * @param dialling the greeting of the dialling side
     * @param accepting the greeting of the accepting side
     * @return the bytes that the codes cover
     */
    private static byte[] transcript(Greeting dialling, Greeting accepting) {
        return encode(dialling, encode(accepting, new byte[0]));
    }

    /**
     * Encodes a greeting followed by a code.
     *
     * @param greeting the greeting
     * @param code the code, or empty
     * @return the message
     */
    private static byte[] encode(Greeting greeting, byte[] code) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(PeerLimits.PROTOCOL_VERSION);
            packer.packString(greeting.identity().vm().value());
            packer.packLong(greeting.identity().incarnation().value());
            packer.packBinaryHeader(greeting.nonce().length);
            packer.writePayload(greeting.nonce());
            packer.packBinaryHeader(code.length);
            packer.writePayload(code);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Decodes a message of the handshake.
     *
     * @param message the message
     * @return the greeting with its code
     * @throws FrameException if the message is malformed or of another protocol version
     */
    private static Signed decode(byte[] message) throws FrameException {
        FieldReader in = new FieldReader(message);
        try {
            if (in.integer() != PeerLimits.PROTOCOL_VERSION) {
                throw new FrameException(FrameFault.OTHER_VERSION);
            }
            VmId vm = new VmId(in.text(NAME_CHARS));
            PeerIdentity identity = new PeerIdentity(vm, new Incarnation(in.integer()));
            Greeting greeting = new Greeting(identity, in.bytes(NONCE_BYTES, NONCE_BYTES));
            Signed signed = new Signed(greeting, in.bytes(0, PeerKey.CODE_BYTES));
            in.finish();
            return signed;
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            throw new FrameException(FrameFault.MALFORMED);
        }
    }

    /**
     * Holds the identity and nonce that each side sends first.
     *
     * @param identity the run of the sender
     * @param nonce random bytes
     */
    private record Greeting(PeerIdentity identity, byte[] nonce) {}

    /**
     * Holds a greeting with its authentication code.
     *
     * @param greeting the greeting
     * @param code the code; empty in the first message
     */
    private record Signed(Greeting greeting, byte[] code) {}
}
