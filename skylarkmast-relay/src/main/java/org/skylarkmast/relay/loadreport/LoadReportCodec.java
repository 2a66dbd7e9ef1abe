package org.skylarkmast.relay.loadreport;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.skylarkmast.relay.limit.RateLimitReport;
import org.skylarkmast.relay.peer.PeerNode;
import org.skylarkmast.relay.quarantine.QuarantineCodec;

/** Encodes and decodes load reports in the binary format of the JDK's data streams. */
public final class LoadReportCodec {

    /**
     * Maximum number of load reports in one message, so that a corrupt count cannot exhaust the
     * memory.
     */
    private static final int MAX_LOAD_REPORTS = 100_000;

    private LoadReportCodec() {}

    /**
     * Writes load reports. Fractional values are written in single precision, which is sufficient
     * for choosing a runner.
     */
    public static void write(DataOutputStream out, List<RunnerLoadReport> loadReports)
            throws IOException {
        out.writeInt(loadReports.size());
        for (RunnerLoadReport loadReport : loadReports) {
            out.writeUTF(loadReport.incarnation());
            out.writeInt(loadReport.inFlight());
            out.writeFloat((float) loadReport.workMs());
            out.writeFloat((float) loadReport.workUnits());
            out.writeFloat((float) loadReport.ended());
            out.writeFloat((float) loadReport.failed());
        }
    }

    /**
     * Reads load reports.
     *
     * @throws IOException if the data ends early, or the count is negative or above {@link
     *     #MAX_LOAD_REPORTS}
     */
    public static List<RunnerLoadReport> read(DataInputStream in) throws IOException {
        int count = readCount(in);
        List<RunnerLoadReport> loadReports = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            loadReports.add(
                    new RunnerLoadReport(
                            in.readUTF(),
                            in.readInt(),
                            in.readFloat(),
                            in.readFloat(),
                            in.readFloat(),
                            in.readFloat()));
        }
        return loadReports;
    }

    /** Writes the report of an entry node. */
    public static void writeReport(DataOutputStream out, EntryNodeReport report)
            throws IOException {
        out.writeUTF(report.process());
        write(out, report.runners());
        writeRateLimits(out, report.rateLimits());
        out.writeUTF(report.peerAddress());
        QuarantineCodec.write(out, report.quarantine());
    }

    /**
     * Reads the report of an entry node; those of an earlier release report runners only.
     *
     * @throws IOException as {@link #read}
     */
    public static EntryNodeReport readReport(DataInputStream in) throws IOException {
        return new EntryNodeReport(
                in.readUTF(),
                read(in),
                readRateLimits(in),
                in.available() == 0 ? "" : in.readUTF(),
                QuarantineCodec.read(in));
    }

    /** Writes totals. */
    public static void writeTotals(DataOutputStream out, LoadReportTotals totals)
            throws IOException {
        write(out, totals.runners());
        out.writeInt(totals.entryNodes());
        writeRateLimits(out, totals.rateLimits());
        writePeers(out, totals.peers());
        QuarantineCodec.write(out, totals.quarantine());
    }

    /**
     * Reads totals; storage nodes of an earlier release send those of runners only.
     *
     * @throws IOException as {@link #read}
     */
    public static LoadReportTotals readTotals(DataInputStream in) throws IOException {
        List<RunnerLoadReport> runners = read(in);
        return new LoadReportTotals(
                runners,
                in.available() == 0 ? 0 : in.readInt(),
                readRateLimits(in),
                readPeers(in),
                QuarantineCodec.read(in));
    }

    private static void writeRateLimits(DataOutputStream out, List<RateLimitReport> rateLimits)
            throws IOException {
        out.writeInt(rateLimits.size());
        for (RateLimitReport rateLimit : rateLimits) {
            out.writeUTF(rateLimit.incarnation());
            out.writeDouble(rateLimit.requestsPerSecond());
            out.writeLong(rateLimit.ageMs());
        }
    }

    private static List<RateLimitReport> readRateLimits(DataInputStream in) throws IOException {
        int count = in.available() == 0 ? 0 : readCount(in);
        List<RateLimitReport> rateLimits = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            rateLimits.add(new RateLimitReport(in.readUTF(), in.readDouble(), in.readLong()));
        }
        return rateLimits;
    }

    private static void writePeers(DataOutputStream out, List<PeerNode> peers) throws IOException {
        out.writeInt(peers.size());
        for (PeerNode peer : peers) {
            out.writeUTF(peer.process());
            out.writeUTF(peer.address());
        }
    }

    private static List<PeerNode> readPeers(DataInputStream in) throws IOException {
        int count = in.available() == 0 ? 0 : readCount(in);
        List<PeerNode> peers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            peers.add(new PeerNode(in.readUTF(), in.readUTF()));
        }
        return peers;
    }

    private static int readCount(DataInputStream in) throws IOException {
        int count = in.readInt();
        if (count < 0 || count > MAX_LOAD_REPORTS) {
            throw new IOException("load report count out of range: " + count);
        }
        return count;
    }
}
