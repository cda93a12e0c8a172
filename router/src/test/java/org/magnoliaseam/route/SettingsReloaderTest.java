package org.magnoliaseam.route;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.magnoliaseam.settings.StoreSettings;
import org.magnoliaseam.settings.load.LoadedStoreSettings;
import org.magnoliaseam.settings.load.StoreSettingsLoader;

/** Tests when changes of the settings file take effect. */
class SettingsReloaderTest {

    private static final String SETTINGS =
            """
            vm = "entry-1"
            failure-domain = "domain-1"
            callers-address = "127.0.0.1:7001"
            readiness-address = "127.0.0.1:7002"
            operators-address = "127.0.0.1:7003"
            peers-address = "127.0.0.1:7004"
            store-address = "127.0.0.1:7005"
            stop-grace = "5 s"
            retry-slack = %s
            """;

    @TempDir Path mFolder;

    private Path mFile;

    private SettingsReloader mReload;

    @BeforeEach
    void start() throws IOException {
        mFile = mFolder.resolve("settings.toml");
        write("50");
        StoreSettings settings =
                new StoreSettingsLoader()
                        .load(mFile)
                        .fold(
                                LoadedStoreSettings::settings,
                                faults -> {
                                    throw new AssertionError(faults);
                                });
        mReload = new SettingsReloader(settings, mFile);
    }

    private void write(String slack) throws IOException {
        Files.writeString(mFile, SETTINGS.formatted(slack));
        Files.setLastModifiedTime(mFile, FileTime.fromMillis(1000));
    }

    /** Guards against a change that is missed because the file keeps its time. */
    @Test
    void changeIsReadWhateverTheTimeOfTheFile() throws IOException {
        mReload.check();
        write("7");
        mReload.check();
        assertThat(mReload.get().retrySlack()).isEqualTo(7);
    }

    /** Guards against a change between the first read and the first check that is missed. */
    @Test
    void changeBeforeTheFirstCheckIsRead() throws IOException {
        write("7");
        mReload.check();
        assertThat(mReload.get().retrySlack()).isEqualTo(7);
    }

    /** Guards against changes that are lost because another key of the file cannot be used. */
    @Test
    void unusableValueLeavesTheOtherChangesInForce() throws IOException {
        write("7\nretry-ratio = \"much\"");
        mReload.check();
        assertThat(mReload.get().retrySlack()).isEqualTo(7);
        assertThat(mReload.refused()).isEqualTo(1);
        write("8");
        mReload.check();
        assertThat(mReload.refused()).isZero();
    }

    @Test
    void brokenOrMissingFileLeavesTheLastSettings() throws IOException {
        write("soon");
        mReload.check();
        Files.delete(mFile);
        mReload.check();
        assertThat(mReload.get().retrySlack()).isEqualTo(50);
        write("7");
        mReload.check();
        assertThat(mReload.get().retrySlack()).isEqualTo(7);
    }
}
