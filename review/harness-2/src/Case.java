import java.nio.file.Path;

/** Runs one case and exits with 10 if the rule was broken, with 0 if it held, and with 2 if the case could not run. */
final class Case {
  /** Returns whether the rule was broken; {@code hasTrouble} is false for the same run without the disruption. */
  interface Scenario {
    boolean breaksRule(Harness harness, boolean hasTrouble) throws Exception;
  }

  /** Not 1, with which the JVM exits by itself. */
  private static final int BROKEN = 10;

  private static final int COULD_NOT_RUN = 2;

  private Case() {}

  /** The first of {@code arguments} names the file for what was sent, answered and run. */
  static void run(String[] arguments, Scenario scenario) {
    boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    int exitCode;
    try {
      Harness harness = new Harness(Path.of(arguments[0]));
      harness.record(hasTrouble ? "with the disruption" : "without the disruption");
      boolean isBroken = scenario.breaksRule(harness, hasTrouble);
      harness.record(isBroken ? "the rule was broken" : "the rule held");
      System.out.println(isBroken ? "the rule was broken" : "the rule held");
      exitCode = isBroken ? BROKEN : 0;
    } catch (Exception | Error e) {
      System.out.println("the case could not run: " + e);
      exitCode = COULD_NOT_RUN;
    }
    System.exit(exitCode);
  }
}
