package org.magnoliaseam;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption.DoNotIncludeTests;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Checks that only the wiring of the process knows the users' platform. */
@AnalyzeClasses(packages = "org.magnoliaseam", importOptions = DoNotIncludeTests.class)
class PlatformBoundaryTest {

    @ArchTest
    static final ArchRule ONLY_WIRING_IMPORTS_THE_PLATFORM =
            noClasses()
                    .that()
                    .resideOutsideOfPackages(
                            "org.magnoliaseam.platform..", "org.magnoliaseam.route..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAPackage("org.magnoliaseam.platform..");

    @ArchTest
    static final ArchRule THE_PLATFORM_KNOWS_NO_WIRING =
            noClasses()
                    .that()
                    .resideInAPackage("org.magnoliaseam.platform..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage("org.magnoliaseam.route..", "org.magnoliaseam.cli..");
}
