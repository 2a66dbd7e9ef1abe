package org.skylarkmast.relay.quarantine;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.DataOutputStream;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.skylarkmast.relay.ledger.LedgerCodec;

class QuarantineCodecTest {
    private static final RequestFingerprint D = new RequestFingerprint(-7, 8);
    private static final QuarantineReport REPORT =
            new QuarantineReport(
                    List.of(
                            new CrashReport("r/1", List.of(new Suspect(D, 5)), 900),
                            new CrashReport("r/2", List.of(), 12)),
                    List.of(new CompletionReport(D, 30)));

    @FunctionalInterface
    private interface Writer {
        void write(DataOutputStream out) throws IOException;
    }

    static Stream<Arguments> reports() {
        return Stream.of(
                Arguments.of("empty", QuarantineReport.EMPTY),
                Arguments.of("crashes and completions", REPORT));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("reports")
    void readsWhatItWrote(String name, QuarantineReport report) throws IOException {
        byte[] bytes = LedgerCodec.encode(out -> QuarantineCodec.write(out, report));
        assertThat(LedgerCodec.decode(bytes, QuarantineCodec::read)).isEqualTo(report);
    }

    @Test
    void readsMessageOfEarlierRelease() throws IOException {
        assertThat(LedgerCodec.decode(new byte[0], QuarantineCodec::read))
                .isEqualTo(QuarantineReport.EMPTY);
    }

    @Test
    void refusesMessagesThatEndEarly() throws IOException {
        byte[] bytes = LedgerCodec.encode(out -> QuarantineCodec.write(out, REPORT));
        for (int length = 1; length < bytes.length; length++) {
            byte[] cut = Arrays.copyOf(bytes, length);
            assertThrows(IOException.class, () -> LedgerCodec.decode(cut, QuarantineCodec::read));
        }
    }

    private static void writeSuspects(DataOutputStream out, int count) throws IOException {
        out.writeInt(1);
        out.writeUTF("r/1");
        out.writeLong(0);
        out.writeInt(count);
    }

    private static void writeCompletions(DataOutputStream out, int count, long ageMs)
            throws IOException {
        out.writeInt(0);
        out.writeInt(count);
        out.writeLong(0);
        out.writeLong(0);
        out.writeLong(ageMs);
    }

    static Stream<Arguments> numbersOutOfRange() {
        return Stream.of(
                arguments("crashes", out -> out.writeInt(CrashReports.MAX_CRASHES + 1)),
                arguments("negative crashes", out -> out.writeInt(-1)),
                arguments("suspects", out -> writeSuspects(out, CrashReports.MAX_SUSPECTS + 1)),
                arguments("negative suspects", out -> writeSuspects(out, -1)),
                arguments(
                        "completions",
                        out -> writeCompletions(out, CrashReports.MAX_COMPLETIONS + 1, 0)),
                arguments("negative age", out -> writeCompletions(out, 1, -1)));
    }

    private static Arguments arguments(String name, Writer writer) {
        return Arguments.of(name, writer);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("numbersOutOfRange")
    void refusesNumbersOutOfRange(String name, Writer writer) throws IOException {
        byte[] bytes = LedgerCodec.encode(writer::write);
        IOException refused =
                assertThrows(
                        IOException.class, () -> LedgerCodec.decode(bytes, QuarantineCodec::read));
        assertThat(refused).hasMessageThat().containsMatch("out of range|must not be negative");
    }
}
