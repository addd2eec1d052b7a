package wharftrestle.request;

/** An intent record on its way to the disk, as its {@link ResultStore} knows it. */
public interface PendingIntent {}
