package org.skylarkmast.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

class ArchitectureTest {
    private static final JavaClasses CORE =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages("org.skylarkmast.core");

    @Test
    void decisionsTouchNoInputOutputClockThreadOrChance() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.net..", "java.nio.file..", "java.io..", "io.grpc..")
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.lang.Thread")
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.util.concurrent.ThreadLocalRandom")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(CORE);
    }

    @Test
    void slicesDoNotDependOnEachOtherInCircles() {
        slices().matching("org.skylarkmast.core.(*)..").should().beFreeOfCycles().check(CORE);
    }
}
