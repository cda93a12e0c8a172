package org.magnoliaseam;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.magnoliaseam.error.Result;
import org.magnoliaseam.exchange.AuthenticatedRequest;
import org.magnoliaseam.exchange.ForwardPurpose;
import org.magnoliaseam.explain.RecordBuilder;
import org.magnoliaseam.explain.RecordEventKind;
import org.magnoliaseam.model.ClientAccountId;
import org.magnoliaseam.model.RequestClassId;
import org.magnoliaseam.model.RequestId;
import org.magnoliaseam.model.VmId;
import org.magnoliaseam.settings.Configuration;
import org.magnoliaseam.settings.ConfigurationText;
import org.magnoliaseam.settings.Fault;
import org.magnoliaseam.settings.VersionedConfiguration;
import org.magnoliaseam.settings.load.TomlConfigurationLoader;

/** Builds decision records of requests to the example site through {@link RecordBuilder}. */
public final class RecordFixtures {

    public static final RequestClassId CHAT = new RequestClassId("inspector-lookup");
    public static final RequestClassId RELEASE = new RequestClassId("bale-release");
    private static final Path EXAMPLE = Path.of("..", "examples", "vanhecke");
    private static final long ARRIVED_EPOCH_MILLIS = 1_700_000_000_000L;

    public long mNanos = TimeUnit.HOURS.toNanos(1);

    public static VersionedConfiguration configuration(String domainsOut) {
        try {
            String base = Files.readString(EXAMPLE.resolve("base.toml"));
            String overlay = Files.readString(EXAMPLE.resolve("overlay.toml"));
            String line = "failure-domains = [" + domainsOut + "]";
            ConfigurationText text =
                    new ConfigurationText(7, base, overlay.replace("failure-domains = []", line));
            Result<Configuration, List<Fault>> loaded =
                    new TomlConfigurationLoader("base.toml", "overlay.toml").load(text);
            Configuration configuration = ((Result.Ok<Configuration, List<Fault>>) loaded).value();
            return new VersionedConfiguration(7, configuration, text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    public RecordBuilder arrived(String vm, RequestClassId requestClass, String account) {
        return arrived(vm, requestClass, account, Optional.empty());
    }

    public RecordBuilder arrived(
            String vm, RequestClassId requestClass, String account, Optional<ForwardPurpose> why) {
        VersionedConfiguration configuration = configuration("");
        AuthenticatedRequest request =
                new AuthenticatedRequest(
                        new RequestId("id-1"),
                        new ClientAccountId(account),
                        configuration.configuration().classes().get(requestClass),
                        "POST",
                        "/v1/chat/completions",
                        List.of(),
                        new byte[0],
                        false,
                        Optional.empty(),
                        0,
                        "",
                        mNanos,
                        why);
        RecordBuilder record =
                new RecordBuilder(
                        request, new VmId(vm), configuration, ARRIVED_EPOCH_MILLIS, () -> mNanos);
        record.add(RecordEventKind.ARRIVED, why.map(Enum::name).orElse(""), "POST /path");
        return record;
    }

    public void pass(long millis) {
        mNanos += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    public void send(RecordBuilder record, String server) {
        record.add(RecordEventKind.STARTED, server, "tier 1, least loaded of 2");
        record.add(RecordEventKind.SENDING, server, "");
    }

    public void queue(RecordBuilder record, long millis) {
        record.add(RecordEventKind.QUEUED, "", "tier 1");
        pass(millis);
    }

    public void answer(RecordBuilder record, String server, long firstTokenMillis) {
        pass(firstTokenMillis);
        record.token();
        record.add(RecordEventKind.FIRST_TOKEN, server, "");
        record.add(RecordEventKind.COMPLETED, server, "");
    }
}
