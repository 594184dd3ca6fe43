package org.verbenatray.bench;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.verbenatray.cli.Command;
import org.verbenatray.cli.CommandOutput;

/** Plots goodput against role changes from the JSON lines of {@link MixCommand}. */
@Parameters(commandNames = "plot", commandDescription = "Plot goodput against role changes from JSON lines as a PNG.")
public final class PlotCommand implements Command {
    /** The exit code of a run that was done. */
    private static final int DONE = 0;

    /** The exit code of a failed run. */
    private static final int FAILED = 1;

    /** The width of the picture in pixels. */
    private static final int WIDTH = 900;

    /** The height of the picture in pixels. */
    private static final int HEIGHT = 600;

    /** Where messages are printed. */
    private final PrintStream out;

    /** The files to read. */
    @Parameter(names = "--in", required = true, description = "file of JSON lines; repeat or separate by comma")
    private List<String> inputs = new ArrayList<>();

    /** The file to write. */
    @Parameter(names = "--out", required = true, description = "PNG file to write")
    private String output = "";

    /** The title. */
    @Parameter(names = "--title", description = "title of the plot")
    private String title = "Goodput against role changes";

    /** Creates the command. */
    private PlotCommand(PrintStream out) {
        this.out = out;
    }

    /** Returns the command that prints messages to a stream. */
    public static PlotCommand create(PrintStream out) {
        return new PlotCommand(out);
    }

    @Override
    public int run(CommandOutput target) {
        return run();
    }

    /** Writes the plot and returns the exit code. */
    public int run() {
        System.setProperty("java.awt.headless", "true");
        try {
            JFreeChart chart = ChartFactory.createScatterPlot(
                    title, "role changes per run", "answers whole and in time per second", points());
            ChartUtils.saveChartAsPNG(Path.of(output).toFile(), chart, WIDTH, HEIGHT);
            return DONE;
        } catch (IOException e) {
            out.println("plot not written: " + e.getMessage() + "; check --in and --out");
            return FAILED;
        }
    }

    /** Returns one series of points per policy. */
    private XYSeriesCollection points() throws IOException {
        ObjectMapper mapper = new ObjectMapper();
        XYSeriesCollection points = new XYSeriesCollection();
        for (String input : inputs) {
            for (String line : Files.readAllLines(Path.of(input), StandardCharsets.UTF_8)) {
                if (line.startsWith("{")) {
                    add(points, mapper.readTree(line));
                }
            }
        }
        return points;
    }

    /** Adds the figures of one run. */
    private static void add(XYSeriesCollection points, JsonNode result) {
        String policy = result.path("policy").asText();
        if (points.getSeriesIndex(policy) < 0) {
            points.addSeries(new XYSeries(policy));
        }
        double changes = result.path("roleChanges").asDouble();
        points.getSeries(policy).add(changes, result.path("goodputPerSecond").asDouble());
    }
}
