package org.magnoliaseam;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption.DoNotIncludeTests;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import java.time.Clock;
import java.time.Instant;

/** Checks that a jump of the time of day cannot change what a site with a store does. */
@AnalyzeClasses(packages = "org.magnoliaseam", importOptions = DoNotIncludeTests.class)
class WallClockTest {

    @ArchTest
    static final ArchRule STORE_PATH_READS_NO_WALL_CLOCK =
            noClasses()
                    .that()
                    .resideInAnyPackage(
                            "org.magnoliaseam.gateway..",
                            "org.magnoliaseam.catalog..",
                            "org.magnoliaseam.gossip..",
                            "org.magnoliaseam.platform..",
                            "org.magnoliaseam.backend..",
                            "org.magnoliaseam.caller..",
                            "org.magnoliaseam.retry..")
                    .should()
                    .callMethod(System.class, "currentTimeMillis")
                    .orShould()
                    .callMethod(Instant.class, "now")
                    .orShould()
                    .dependOnClassesThat()
                    .areAssignableTo(Clock.class);
}
