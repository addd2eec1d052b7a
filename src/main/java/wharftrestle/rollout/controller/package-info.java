/**
 * Carries out a rolling change of a fleet: the plan's script, the driver with its journal and its
 * calls to keepers, and the operators' commands. What is decided is decided in {@link
 * wharftrestle.fleet}. No part of the daemon, and off on the platform. It must never give an order
 * that does not stand in its journal, or one that {@link wharftrestle.fleet.Steering} does not let
 * out.
 */
package wharftrestle.rollout.controller;
