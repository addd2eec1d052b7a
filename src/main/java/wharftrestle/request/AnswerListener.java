package wharftrestle.request;

/** Receives the answer of a request, once, on the request's thread and without a lock held. */
@FunctionalInterface
public interface AnswerListener {
  /** Called once per request. */
  void onAnswer(Answer answer);
}
