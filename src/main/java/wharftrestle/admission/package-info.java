/**
 * The policy: which requests are started, held, refused or failed. {@link
 * wharftrestle.admission.Admission} is the face between it and its host, {@link
 * wharftrestle.admission.AdmissionController} decides. It must never touch a socket, a file, a
 * thread or a clock: time is passed in.
 */
package wharftrestle.admission;
