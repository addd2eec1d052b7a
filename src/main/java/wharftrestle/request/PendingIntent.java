package wharftrestle.request;

/** Handle of an intent record that its {@link ResultStore} is writing to disk. */
public interface PendingIntent {}
