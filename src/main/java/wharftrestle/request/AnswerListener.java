package wharftrestle.request;

/** Waits for the answer of a request; notified once, on a thread of the request, without a lock. */
@FunctionalInterface
public interface AnswerListener {
  /** Called once. */
  void onAnswer(Answer answer);
}
