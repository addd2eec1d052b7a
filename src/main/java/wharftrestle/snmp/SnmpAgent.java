package wharftrestle.snmp;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.snmp4j.CommandResponder;
import org.snmp4j.CommandResponderEvent;
import org.snmp4j.MessageDispatcherImpl;
import org.snmp4j.MessageException;
import org.snmp4j.PDU;
import org.snmp4j.Snmp;
import org.snmp4j.mp.MPv2c;
import org.snmp4j.mp.StatusInformation;
import org.snmp4j.smi.Address;
import org.snmp4j.smi.Counter64;
import org.snmp4j.smi.Gauge32;
import org.snmp4j.smi.Integer32;
import org.snmp4j.smi.Null;
import org.snmp4j.smi.OID;
import org.snmp4j.smi.OctetString;
import org.snmp4j.smi.TimeTicks;
import org.snmp4j.smi.UdpAddress;
import org.snmp4j.smi.Variable;
import org.snmp4j.smi.VariableBinding;
import org.snmp4j.transport.DefaultUdpTransportMapping;
import org.tinylog.Logger;
import wharftrestle.admin.AdminServer;
import wharftrestle.admin.RolloutStatus;
import wharftrestle.metrics.Counters;
import wharftrestle.metrics.Counters.Count;
import wharftrestle.metrics.ResultMetric;

/**
 * The SNMP agent: version 2c, read-only, for one community. It serves the objects of
 * mib/WHARFTRESTLE-MIB.txt and the few objects of the system group that managers request first.
 * Requests for another community get no response.
 */
public final class SnmpAgent implements CommandResponder, AutoCloseable {
  /** Root OID of the MIB, in the experimental subtree as no enterprise number is registered. */
  public static final OID ROOT = new OID("1.3.6.1.3.29421");

  private static final OID SYSTEM = new OID("1.3.6.1.2.1.1");
  private static final long MAX_GAUGE = 0xffff_ffffL;
  private static final int MAX_BINDINGS = 100;

  private final AdminServer.Daemon daemon;
  private final OctetString community;
  private final DefaultUdpTransportMapping transport;
  private final Snmp snmp;

  public SnmpAgent(AdminServer.Daemon daemon, InetSocketAddress listen, String community)
      throws IOException {
    this.daemon = daemon;
    this.community = new OctetString(community);
    transport =
        new DefaultUdpTransportMapping(new UdpAddress(listen.getAddress(), listen.getPort()));
    MessageDispatcherImpl dispatcher = new MessageDispatcherImpl();
    dispatcher.addMessageProcessingModel(new MPv2c());
    snmp = new Snmp(dispatcher, transport);
    snmp.addCommandResponder(this);
    snmp.listen();
  }

  public InetSocketAddress address() {
    UdpAddress address = transport.getListenAddress();
    return new InetSocketAddress(address.getInetAddress(), address.getPort());
  }

  /** Returns the current value of each served object, ordered by OID. */
  private NavigableMap<OID, Variable> objects() {
    NavigableMap<OID, Variable> objects = new TreeMap<>();
    TimeTicks up = new TimeTicks((long) (daemon.upSeconds() * 100));
    Counters counters = daemon.counters();
    put(objects, SYSTEM, 1, text("wharftrestle: admission and overload control"));
    put(objects, SYSTEM, 2, ROOT);
    put(objects, SYSTEM, 3, up);
    put(objects, SYSTEM, 5, text(daemon.name()));
    OID state = child(ROOT, 1, 1);
    put(objects, state, 1, text(daemon.name()));
    put(objects, state, 2, new Integer32(daemon.phaseNumber()));
    put(objects, state, 3, up);
    put(objects, state, 4, truthValue(daemon.linked()));
    put(objects, state, 5, truthValue(daemon.healthy()));
    put(objects, state, 6, new Gauge32(Math.max(0, counters.inFlight())));
    Counters.KeyUsage keyUsage = counters.keyUsage();
    put(objects, state, 7, new Gauge32(keyUsage.keys()));
    put(objects, state, 8, new Gauge32(keyUsage.maxKeys()));
    put(objects, state, 9, new Gauge32(Math.min(keyUsage.bytes() >> 10, MAX_GAUGE)));
    put(objects, state, 10, new Gauge32(Math.min(keyUsage.maxBytes() >> 10, MAX_GAUGE)));
    for (Count count : Count.values()) {
      put(objects, child(ROOT, 1, 2), mibNumber(count), new Counter64(counters.get(count)));
    }
    Map<ResultMetric, Long> results = daemon.results();
    for (ResultMetric metric : ResultMetric.values()) {
      long value = results.getOrDefault(metric, metric == ResultMetric.STATE ? 1L : 0L);
      put(
          objects,
          child(ROOT, 1, 4),
          mibNumber(metric),
          metric.isCounter() ? new Counter64(value) : new Gauge32(Math.min(value, MAX_GAUGE)));
    }
    int index = 0;
    for (String field : daemon.version().publishedFields().values()) {
      put(objects, child(ROOT, 1, 5), ++index, text(field));
    }
    put(objects, child(ROOT, 1, 5), ++index, text(daemon.handover()));
    RolloutStatus fleet = daemon.fleet();
    put(objects, child(ROOT, 1, 6), 1, new Counter64(fleet.epoch()));
    put(objects, child(ROOT, 1, 6), 2, new Gauge32(fleet.stage()));
    put(objects, child(ROOT, 1, 6), 3, text(fleet.verdict()));
    OID row = child(ROOT, 1, 3, 1);
    for (int i = 0; i < counters.classes().size(); i++) {
      objects.put(child(row, 2, i + 1), text(counters.classes().get(i)));
      for (Counters.Result result : Counters.Result.values()) {
        objects.put(
            child(row, 2 + mibNumber(result), i + 1), new Counter64(counters.get(i, result)));
      }
    }
    return objects;
  }

  @SuppressWarnings("EnumOrdinal") // the MIB counts from 1 in the order of declaration
  private static int mibNumber(Enum<?> value) {
    return value.ordinal() + 1;
  }

  private static void put(Map<OID, Variable> objects, OID group, int number, Variable value) {
    objects.put(child(group, number, 0), value);
  }

  private static OID child(OID root, int... subIds) {
    int[] base = root.getValue();
    int[] all = Arrays.copyOf(base, base.length + subIds.length);
    System.arraycopy(subIds, 0, all, base.length, subIds.length);
    return new OID(all);
  }

  private static OctetString text(String value) {
    return new OctetString(value.getBytes(StandardCharsets.UTF_8));
  }

  private static Integer32 truthValue(boolean value) {
    return new Integer32(value ? 1 : 2);
  }

  @Override
  public <A extends Address> void processPdu(CommandResponderEvent<A> event) {
    PDU request = event.getPDU();
    if (request == null || !community.equals(new OctetString(event.getSecurityName()))) {
      return;
    }
    event.setProcessed(true);
    PDU response = new PDU(request);
    response.setType(PDU.RESPONSE);
    response.clear();
    response.setRequestID(request.getRequestID());
    fillResponse(request, response);
    try {
      event
          .getMessageDispatcher()
          .returnResponsePdu(
              event.getMessageProcessingModel(),
              event.getSecurityModel(),
              event.getSecurityName(),
              event.getSecurityLevel(),
              response,
              event.getMaxSizeResponsePDU(),
              event.getStateReference(),
              new StatusInformation());
    } catch (MessageException e) {
      Logger.warn("cannot send the SNMP response: error={}", e.getMessage());
    }
  }

  private void fillResponse(PDU request, PDU response) {
    NavigableMap<OID, Variable> objects = objects();
    switch (request.getType()) {
      case PDU.GET -> {
        for (VariableBinding requested : request.getVariableBindings()) {
          Variable value = objects.get(requested.getOid());
          response.add(
              new VariableBinding(requested.getOid(), value == null ? Null.noSuchObject : value));
        }
      }
      case PDU.GETNEXT ->
          request
              .getVariableBindings()
              .forEach(requested -> response.add(next(objects, requested.getOid())));
      case PDU.GETBULK -> getBulk(objects, request, response);
      default -> {
        response.setErrorStatus(PDU.notWritable);
        response.setErrorIndex(1);
        request.getVariableBindings().forEach(response::add);
      }
    }
  }

  private static void getBulk(NavigableMap<OID, Variable> objects, PDU request, PDU response) {
    int nonRepeaters = Math.max(0, Math.min(request.getNonRepeaters(), request.size()));
    OID[] positions = new OID[request.size()];
    for (int i = 0; i < positions.length; i++) {
      positions[i] = request.get(i).getOid();
    }
    int repetitions = Math.max(1, Math.min(MAX_BINDINGS, request.getMaxRepetitions()));
    for (int repetition = 0; repetition < repetitions; repetition++) {
      for (int i = repetition == 0 ? 0 : nonRepeaters; i < positions.length; i++) {
        boolean included = i < nonRepeaters || request.getMaxRepetitions() > 0;
        if (included && response.size() < MAX_BINDINGS) {
          VariableBinding next = next(objects, positions[i]);
          response.add(next);
          positions[i] = next.getOid();
        }
      }
    }
  }

  private static VariableBinding next(NavigableMap<OID, Variable> objects, OID after) {
    Map.Entry<OID, Variable> entry = objects.higherEntry(after);
    return entry == null
        ? new VariableBinding(after, Null.endOfMibView)
        : new VariableBinding(entry.getKey(), entry.getValue());
  }

  @Override
  public void close() {
    try {
      snmp.close();
    } catch (IOException e) {
      Logger.debug(e, "cannot close the SNMP transport");
    }
  }
}
