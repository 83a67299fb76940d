package review3;

/** The case could not run, so that it shows nothing. */
final class CannotRun extends RuntimeException {
  CannotRun(String message) {
    super(message);
  }
}
