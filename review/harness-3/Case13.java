package review3;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Two runners crash while each of them serves a turn with a common input; that input is sent again much later. */
final class Case13 extends Case {
  private static final int RUNNERS = 15;
  private static final int BUDGET = 4_608;
  private static final int MOST = 576;
  private static final int CONTACT_MS = 3_000;
  private static final int DOWN_MS = 4_500;
  private static final int AIM_MS = 12_000;
  private static final String COMMON = "continue";

  private final Deployment deployment = new Deployment(this);
  private final AtomicInteger firstTurns = new AtomicInteger();
  private final AtomicInteger firstTurnsRun = new AtomicInteger();
  private volatile boolean isOver = false;

  private Case13(Path record) throws IOException {
    super(record);
  }

  public static void main(String[] arguments) throws IOException {
    System.exit(new Case13(Path.of(arguments[0])).run());
  }

  @Override
  void play() throws Exception {
    for (int i = 0; i < 3; i++) deployment.addGateway();
    for (int i = 0; i < RUNNERS; i++) addRunner();
    deployment.configure(7);
    deployment.start();
    Thread others = Threads.start("others", this::others);
    List<Thread> programs = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      String program = "early" + i;
      int number = i;
      programs.add(Threads.start(program, () -> program(program, number, false)));
    }
    // Both are in the middle of their second turns.
    while (deployment.runners.stream().mapToLong(runner -> runner.runs.stream().filter(run -> run.attempt().matches("early.-t1-00")).count()).sum() < 2) {
      Threads.sleep(10);
    }
    Threads.sleep(400);
    if (!isCalm) {
      List<Runner> crashed = new ArrayList<>();
      for (Runner runner : deployment.runners) {
        boolean isServing = runner.runs.stream().anyMatch(run -> run.attempt().matches("early.-t1-00"));
        if (isServing) crashed.add(runner);
      }
      recorder.write(crashed.size() + " of " + RUNNERS + " runners serve the second turns");
      if (crashed.size() != 2) throw new CannotRun("both turns are at one runner");
      for (Runner runner : crashed) runner.crash();
      Threads.sleep(DOWN_MS);
      for (int i = 0; i < 2; i++) addRunner();
    }
    for (Thread program : programs) program.join();
    Threads.sleep(CONTACT_MS + 1_000);
    for (int i = 0; i < 2; i++) program("late" + i, i, true);
    isOver = true;
    others.join();
    recorder.write(firstTurns + " first turns of other programs, " + firstTurnsRun + " answered whole");
    if (firstTurnsRun.get() * 10 < firstTurns.get() * 9) throw new CannotRun("too few first turns of other programs were served");
  }

  private void addRunner() throws IOException {
    deployment.addRunner("models", 12, (run, out) -> Runner.stream(run, out, 1, 10, new String(run.body(), StandardCharsets.UTF_8).endsWith(COMMON) ? 100 : 20));
  }

  private void others() {
    for (int i = 0; !isOver; i++) {
      firstTurns.incrementAndGet();
      if (attempt(i % 3, "other" + i, "other" + i + "-t0", null, "input of other" + i).isSuccess()) firstTurnsRun.incrementAndGet();
      Threads.sleep(300);
    }
  }

  private void program(String program, int gateway, boolean isCounted) {
    long aimAt = recorder.nowMs() + AIM_MS;
    String previous = null;
    for (int number = 0; number < 3; number++) {
      previous = turn(program, number, previous, gateway, isCounted ? aimAt : 0);
      if (previous == null) return;
      Threads.sleep(200);
    }
  }

  /** Sends a turn, also again after failures, and returns the attempt that was answered whole, or null. */
  private String turn(String program, int number, String previous, int gateway, long aimAt) {
    int refused = 0;
    for (int sent = 0; sent < 3; sent++) {
      for (int retry = 0; retry < 2; retry++) {
        String id = program + "-t" + number + "-" + sent + retry;
        Client.Answer answer = attempt((gateway + retry) % 3, program, id, previous, number == 0 ? "input of " + program : COMMON);
        if (answer.isSuccess()) return id;
        boolean hasRun = deployment.runners.stream().anyMatch(runner -> runner.runs.stream().anyMatch(run -> run.attempt().equals(id)));
        if (previous != null && recorder.nowMs() < aimAt && !hasRun) refused++;
        if (answer.status() != 503 && answer.status() != 429) break;
        // At most a third of the time that is left.
        Threads.sleep(800);
      }
      Threads.sleep(300);
    }
    if (refused >= 5) broken("turn " + number + " of " + program + " reached no runner in " + refused + " tries, though " + previous + " was answered whole");
    return null;
  }

  private Client.Answer attempt(int gatewayNumber, String program, String id, String previous, String input) {
    Gateway gateway = deployment.gateways.get(gatewayNumber);
    Map<String, String> headers = Deployment.turn(id, program, "a", BUDGET, MOST, previous);
    headers.put("Chestnutloom-Program-Deadline-Ms", "" + AIM_MS);
    recorder.write("client: sends " + id + " to " + gateway.name + (previous == null ? "" : ", after " + previous) + ", input \"" + input + "\"");
    Client.Answer answer = Client.send(gateway.address, gateway.callerPort, "POST", Deployment.CHAT + "a", headers, input.getBytes(StandardCharsets.UTF_8), 3_500);
    recorder.write("client: " + id + " got " + answer);
    return answer;
  }
}
