package org.skylarkmast.relay.quarantine;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes and decodes reports of crashes and completions in the binary format of the JDK's data
 * streams.
 */
public final class QuarantineCodec {
    private QuarantineCodec() {}

    /** Writes a report. */
    public static void write(DataOutputStream out, QuarantineReport report) throws IOException {
        out.writeInt(report.crashes().size());
        for (CrashReport crash : report.crashes()) {
            out.writeUTF(crash.incarnation());
            out.writeLong(crash.ageMs());
            out.writeInt(crash.suspects().size());
            for (Suspect suspect : crash.suspects()) {
                writeFingerprint(out, suspect.fingerprint());
                out.writeLong(suspect.heldMs());
            }
        }
        out.writeInt(report.completions().size());
        for (CompletionReport completion : report.completions()) {
            writeFingerprint(out, completion.fingerprint());
            out.writeLong(completion.ageMs());
        }
    }

    /**
     * Reads a report, an empty one at the end of a message: those of an earlier release contain
     * none.
     *
     * @throws IOException if the data ends early, a number is negative, or there are more entries
     *     than {@link CrashReports} keeps
     */
    public static QuarantineReport read(DataInputStream in) throws IOException {
        if (in.available() == 0) {
            return QuarantineReport.EMPTY;
        }
        try {
            return new QuarantineReport(readCrashes(in), readCompletions(in));
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private static List<CrashReport> readCrashes(DataInputStream in) throws IOException {
        int count = readCount(in, CrashReports.MAX_CRASHES);
        List<CrashReport> crashes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String incarnation = in.readUTF();
            long ageMs = in.readLong();
            int suspectCount = readCount(in, CrashReports.MAX_SUSPECTS);
            List<Suspect> suspects = new ArrayList<>();
            for (int j = 0; j < suspectCount; j++) {
                suspects.add(new Suspect(readFingerprint(in), in.readLong()));
            }
            crashes.add(new CrashReport(incarnation, suspects, ageMs));
        }
        return crashes;
    }

    private static List<CompletionReport> readCompletions(DataInputStream in) throws IOException {
        int count = readCount(in, CrashReports.MAX_COMPLETIONS);
        List<CompletionReport> completions = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            completions.add(new CompletionReport(readFingerprint(in), in.readLong()));
        }
        return completions;
    }

    private static void writeFingerprint(DataOutputStream out, RequestFingerprint fingerprint)
            throws IOException {
        out.writeLong(fingerprint.high());
        out.writeLong(fingerprint.low());
    }

    private static RequestFingerprint readFingerprint(DataInputStream in) throws IOException {
        return new RequestFingerprint(in.readLong(), in.readLong());
    }

    private static int readCount(DataInputStream in, int maxCount) throws IOException {
        int count = in.readInt();
        if (count < 0 || count > maxCount) {
            throw new IOException("count out of range: " + count);
        }
        return count;
    }
}
