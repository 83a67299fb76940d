package review3;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A route for turns is added below the prefix of another one while a gateway is partitioned from the store; a program's
 * second turn arrives there.
 */
final class Case12 extends Case {
  private static final int PROGRAMS = 4;
  private static final int CUT_MS = 5_500;
  private static final int BUDGET = 4_608;
  private static final int MOST = 576;
  private static final String KEPT = Deployment.HOLD + "kept/";

  private final Deployment deployment = new Deployment(this);
  private final AtomicInteger whole = new AtomicInteger();

  private Case12(Path record) throws IOException {
    super(record);
  }

  public static void main(String[] arguments) throws IOException {
    System.exit(new Case12(Path.of(arguments[0])).run());
  }

  @Override
  void play() throws Exception {
    for (int i = 0; i < 3; i++) deployment.addGateway();
    for (int i = 0; i < 3; i++) deployment.addRunner("models", 12, (run, out) -> Runner.stream(run, out, 1, 5, 20));
    deployment.configure(7);
    deployment.start();
    Gateway first = deployment.gateways.get(0);
    Gateway cut = deployment.gateways.get(1);
    long cutAt = recorder.nowMs();
    if (!isCalm) {
      cut.way.isCut = true;
      recorder.write("store: " + cut.name + " is partitioned from it");
    }
    deployment.addRoute(KEPT);
    deployment.configure(8);
    recorder.write("operator: version 8 with the route " + KEPT + " is acknowledged");
    // The client learns of the route, and has it served by the first gateway before it goes on.
    Threads.sleep(100);
    Thread[] programs = new Thread[PROGRAMS];
    for (int i = 0; i < PROGRAMS; i++) {
      String program = "p" + i;
      programs[i] = Threads.start(program, () -> program(program, first, cut));
    }
    for (Thread thread : programs) thread.join();
    Threads.sleep(cutAt + CUT_MS - recorder.nowMs());
    cut.way.isCut = false;
    recorder.write("store: reached by all");
    if (whole.get() < PROGRAMS) throw new CannotRun("too few turns were answered whole");
  }

  private void program(String program, Gateway first, Gateway second) {
    String one = program + "-t1";
    String two = program + "-t2";
    String three = program + "-t3";
    Client.Answer answer = turn(first, program, one, null);
    if (!answer.isSuccess()) return;
    whole.incrementAndGet();
    Client.Answer next = turn(second, program, two, one);
    checkBody(two, input(one) + dataOf(answer) + input(two));
    if (next.status() == 404 || next.status() == 410) broken(two + " got " + next.status() + ", though it names a turn answered whole");
    if (!next.isSuccess()) return;
    Client.Answer last = turn(first, program, three, two);
    if (last.status() == 404 || last.status() == 410) broken(three + " got " + last.status() + ", though it names " + two + ", which was answered whole");
  }

  private static String input(String id) {
    return "input of " + id;
  }

  private static String dataOf(Client.Answer answer) {
    StringBuilder data = new StringBuilder();
    for (String event : answer.body().split("\n\n")) {
      int at = event.indexOf("data: ");
      if (at >= 0) data.append(event.substring(at + 6)).append('\n');
    }
    return data.toString();
  }

  private void checkBody(String id, String expected) {
    List<String> bodies = new ArrayList<>();
    for (Runner runner : deployment.runners) {
      for (Runner.Run run : runner.runs) {
        if (run.attempt().equals(id)) bodies.add(new String(run.body(), StandardCharsets.UTF_8));
      }
    }
    for (String body : bodies) {
      recorder.write("body of " + id + ": " + body.replace("\n", "|"));
      if (!body.equals(expected)) broken("a runner ran " + id + " with another body than " + expected.replace("\n", "|"));
    }
  }

  private Client.Answer turn(Gateway gateway, String program, String id, String previous) {
    Map<String, String> headers = Deployment.turn(id, program, "a", BUDGET, MOST, previous);
    recorder.write("client: sends " + id + " to " + gateway.name + (previous == null ? "" : ", after " + previous));
    byte[] body = input(id).getBytes(StandardCharsets.UTF_8);
    Client.Answer answer = Client.send(gateway.address, gateway.callerPort, "POST", KEPT + "a", headers, body, 3_500);
    recorder.write("client: " + id + " got " + answer);
    return answer;
  }
}
