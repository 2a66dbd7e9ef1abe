package org.skylarkmast.relay.loadreport;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** The binary form of load reports, by the JDK's data streams. */
public final class LoadReportCodec {

    /**
     * Most load reports accepted in one message, so that a corrupt count cannot take all memory.
     */
    private static final int MAX_LOAD_REPORTS = 100_000;

    private LoadReportCodec() {}

    /** Writes load reports; fractions lose precision that choices do not need. */
    public static void write(DataOutputStream out, List<RunnerLoadReport> loadReports)
            throws IOException {
        out.writeInt(loadReports.size());
        for (RunnerLoadReport loadReport : loadReports) {
            out.writeUTF(loadReport.incarnation());
            out.writeInt(loadReport.underWay());
            out.writeFloat((float) loadReport.workMs());
            out.writeFloat((float) loadReport.workUnits());
            out.writeFloat((float) loadReport.ended());
            out.writeFloat((float) loadReport.failed());
        }
    }

    /**
     * Reads load reports.
     *
     * @throws IOException if there are none, or too many to be true
     */
    public static List<RunnerLoadReport> read(DataInputStream in) throws IOException {
        int count = in.readInt();
        if (count < 0 || count > MAX_LOAD_REPORTS) {
            throw new IOException("invalid number of load reports " + count);
        }
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
}
