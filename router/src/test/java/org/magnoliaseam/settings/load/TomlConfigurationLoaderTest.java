package org.magnoliaseam.settings.load;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assertions.assertTimeout;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliaseam.model.BackendServerId;
import org.magnoliaseam.model.ClientAccountId;
import org.magnoliaseam.model.FailureDomain;
import org.magnoliaseam.model.RequestClassId;
import org.magnoliaseam.settings.BackendServer;
import org.magnoliaseam.settings.Configuration;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.RequestClass;

/** Tests the loader of base file and overlay. */
class TomlConfigurationLoaderTest {

    private static final RequestClassId CHAT = new RequestClassId("chat");

    private static final BackendServerId ENGINE = new BackendServerId("engine-1");

    /** Faults that the input files mark. */
    @Nested
    class MarkedFaults {

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "UnknownKey",
                    "WrongType",
                    "OutOfRange",
                    "MissingKey",
                    "NoConsequentialFaults",
                    "RequiredTable",
                    "ClassTarget",
                    "ClassKeys",
                    "ServerKind",
                    "LimitOrder",
                    "DuplicateAddress",
                    "DanglingReference",
                    "OutOfService",
                    "KindMismatch",
                    "UnservedClass",
                    "AmbiguousClass",
                    "DefaultClass",
                    "DuplicateKey",
                    "GuaranteedShare"
                })
        void allFaultsOfBaseFileAreFound(String name) {
            MarkedInput.verifyBase(name);
        }

        @Test
        void overlayMaySetOnlyKeysThatMayDifferBetweenSites() {
            MarkedInput.verifyOverlay("OverlayScope");
        }
    }

    /** Faults of the files as a whole. */
    @Nested
    class WholeFiles {

        @Test
        void syntaxErrorsOfBothFilesAreFound() {
            String broken = MarkedInput.text("Syntax");
            List<Fault> faults = MarkedInput.faults(MarkedInput.load(broken, broken));
            assertThat(faults).extracting(Fault::file).contains("base.toml", "overlay.toml");
            assertThat(faults).extracting(Fault::line).contains(2, 3);
            assertThat(faults).noneMatch(fault -> fault.text().contains("\n"));
        }

        @Test
        void valuesOfOneFileAreCheckedDespiteSyntaxErrorsInTheOther() {
            List<Fault> faults =
                    MarkedInput.faults(
                            MarkedInput.load(MarkedInput.text("UnknownKey"), "[[[broken"));
            assertThat(faults).extracting(Fault::file).contains("base.toml", "overlay.toml");
        }

        @Test
        void deepNestingIsAFault() {
            String deep = "a = " + "[".repeat(200_000);
            assertThat(MarkedInput.faults(MarkedInput.load(deep, ""))).isNotEmpty();
        }

        @Test
        void fileOfManyFaultsIsCheckedWithinSeconds() {
            String servers = "[backend-servers.engine-%d]\n";
            String names = "\"engine-%dx\", ";
            StringBuilder text = new StringBuilder("[classes.chat]\nbackend-servers = [");
            IntStream.range(0, 5000).forEach(i -> text.append(names.formatted(i)));
            text.append("]\n");
            IntStream.range(0, 5000).forEach(i -> text.append(servers.formatted(i)));
            assertThat(
                            assertTimeout(
                                    Duration.ofSeconds(10),
                                    () -> MarkedInput.load(text.toString(), "")))
                    .satisfies(r -> assertThat(MarkedInput.faults(r)).hasSizeGreaterThan(5000));
        }

        @Test
        void oversizedFileIsAFault() {
            String large = "#".repeat(1024 * 1024 + 1);
            assertThat(MarkedInput.faults(MarkedInput.load(large, "")))
                    .extracting(Fault::reason)
                    .containsExactly("the file is larger than 1 MiB");
        }
    }

    /** Merging of base file and overlay. */
    @Nested
    class Merge {

        private final Configuration mBase = MarkedInput.accepted(MarkedInput.text("Valid"), "");

        private final Configuration mMerged =
                MarkedInput.accepted(MarkedInput.text("Valid"), MarkedInput.text("Overlay"));

        @Test
        void overlayChangesOnlyTheKeysThatItSets() {
            RequestClass chat = mMerged.classes().get(CHAT);
            assertThat(chat.maxQueueWait()).isEqualTo(Duration.ofSeconds(3));
            assertThat(chat.targets().firstToken()).isEqualTo(Duration.ofMillis(700));
            assertThat(chat.targets().wholeAnswer()).isEqualTo(Duration.ofSeconds(20));
            BackendServer engine = mMerged.backendServers().get(ENGINE);
            assertThat(engine.address()).isEqualTo(URI.create("http://192.0.2.9:9001"));
            assertThat(engine.warmLimit()).isEqualTo(8);
            assertThat(engine.coldLimit()).isEqualTo(1);
            assertThat(mMerged.accounts().get(new ClientAccountId("school")).maxInFlight())
                    .isEqualTo(3);
            assertThat(mMerged.tuning().queueLimit()).isEqualTo(20);
            assertThat(mMerged.tuning().ticketTtl()).isEqualTo(Duration.ofSeconds(20));
        }

        @Test
        void overlayAddsServers() {
            assertThat(mMerged.backendServers()).containsKey(new BackendServerId("engine-2"));
            assertThat(mMerged.classes().get(CHAT).backendServers()).hasSize(2);
        }

        @Test
        void outOfServiceListsOfBothFilesAreJoined() {
            String base = MarkedInput.text("Valid") + "[out-of-service]\n";
            String domains = "failure-domains = [\"d1\"]\n";
            Configuration merged =
                    MarkedInput.accepted(base + domains, MarkedInput.text("Overlay"));
            assertThat(merged.outOfService().failureDomains())
                    .isEqualTo(Set.of(new FailureDomain("d1"), new FailureDomain("d2")));
            Configuration repeated =
                    MarkedInput.accepted(base + domains, "[out-of-service]\n" + domains);
            assertThat(repeated.outOfService().failureDomains())
                    .containsExactly(new FailureDomain("d1"));
        }

        @Test
        void digestDoesNotDependOnNotation() {
            String equivalentText =
                    MarkedInput.text("Valid")
                            .replace("\"20 s\"", "\"20000 ms\"")
                            .replace("tier = 1", "# comment\ntier = 0x1");
            assertThat(MarkedInput.accepted(equivalentText, "").digest()).isEqualTo(mBase.digest());
            assertThat(mMerged.digest()).isNotEqualTo(mBase.digest()).matches("[0-9a-f]{64}");
        }
    }
}
