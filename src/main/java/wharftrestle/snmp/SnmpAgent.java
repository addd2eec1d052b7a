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
 * The SNMP agent: version 2c, read-only, for one community. It serves what mib/WHARFTRESTLE-MIB.txt
 * describes and the few objects of the system group that managers ask for first. It must never
 * change anything, nor answer anybody who does not name the community.
 */
public final class SnmpAgent implements CommandResponder, AutoCloseable {
  /** The MIB's root; experimental, as no enterprise number is registered. */
  public static final OID ROOT = new OID("1.3.6.1.3.29421");

  private static final OID SYSTEM = new OID("1.3.6.1.2.1.1");
  private static final long MOST_GAUGE = 0xffff_ffffL;
  private static final int MOST_BINDINGS = 100;

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

  /** All that is served now, in the order of the MIB. */
  private NavigableMap<OID, Variable> objects() {
    NavigableMap<OID, Variable> objects = new TreeMap<>();
    TimeTicks up = new TimeTicks((long) (daemon.upSeconds() * 100));
    Counters counters = daemon.counters();
    put(objects, SYSTEM, 1, text("wharftrestle: admission and overload control"));
    put(objects, SYSTEM, 2, ROOT);
    put(objects, SYSTEM, 3, up);
    put(objects, SYSTEM, 5, text(daemon.name()));
    OID state = below(ROOT, 1, 1);
    put(objects, state, 1, text(daemon.name()));
    put(objects, state, 2, new Integer32(daemon.phaseNumber()));
    put(objects, state, 3, up);
    put(objects, state, 4, truth(daemon.linked()));
    put(objects, state, 5, truth(daemon.healthy()));
    put(objects, state, 6, new Gauge32(Math.max(0, counters.inFlight())));
    Counters.KeyUsage kept = counters.keyUsage();
    put(objects, state, 7, new Gauge32(kept.keys()));
    put(objects, state, 8, new Gauge32(kept.maxKeys()));
    put(objects, state, 9, new Gauge32(Math.min(kept.bytes() >> 10, MOST_GAUGE)));
    put(objects, state, 10, new Gauge32(Math.min(kept.maxBytes() >> 10, MOST_GAUGE)));
    for (Count count : Count.values()) {
      put(objects, below(ROOT, 1, 2), number(count), new Counter64(counters.get(count)));
    }
    Map<ResultMetric, Long> results = daemon.results();
    for (ResultMetric figure : ResultMetric.values()) {
      long value = results.getOrDefault(figure, figure == ResultMetric.STATE ? 1L : 0L);
      put(
          objects,
          below(ROOT, 1, 4),
          number(figure),
          figure.isCounter() ? new Counter64(value) : new Gauge32(Math.min(value, MOST_GAUGE)));
    }
    int part = 0;
    for (String said : daemon.version().publishedFields().values()) {
      put(objects, below(ROOT, 1, 5), ++part, text(said));
    }
    put(objects, below(ROOT, 1, 5), ++part, text(daemon.handover()));
    RolloutStatus fleet = daemon.fleet();
    put(objects, below(ROOT, 1, 6), 1, new Counter64(fleet.epoch()));
    put(objects, below(ROOT, 1, 6), 2, new Gauge32(fleet.stage()));
    put(objects, below(ROOT, 1, 6), 3, text(fleet.verdict()));
    OID row = below(ROOT, 1, 3, 1);
    for (int i = 0; i < counters.classes().size(); i++) {
      objects.put(below(row, 2, i + 1), text(counters.classes().get(i)));
      for (Counters.Result result : Counters.Result.values()) {
        objects.put(below(row, 2 + number(result), i + 1), new Counter64(counters.get(i, result)));
      }
    }
    return objects;
  }

  @SuppressWarnings("EnumOrdinal") // the MIB counts from 1 in the order of declaration
  private static int number(Enum<?> value) {
    return value.ordinal() + 1;
  }

  private static void put(Map<OID, Variable> objects, OID group, int number, Variable value) {
    objects.put(below(group, number, 0), value);
  }

  private static OID below(OID root, int... more) {
    int[] base = root.getValue();
    int[] all = Arrays.copyOf(base, base.length + more.length);
    System.arraycopy(more, 0, all, base.length, more.length);
    return new OID(all);
  }

  private static OctetString text(String value) {
    return new OctetString(value.getBytes(StandardCharsets.UTF_8));
  }

  private static Integer32 truth(boolean value) {
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
    answer(request, response);
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
      Logger.warn("SNMP answer: {}", e.getMessage());
    }
  }

  private void answer(PDU request, PDU response) {
    NavigableMap<OID, Variable> objects = objects();
    switch (request.getType()) {
      case PDU.GET -> {
        for (VariableBinding asked : request.getVariableBindings()) {
          Variable value = objects.get(asked.getOid());
          response.add(
              new VariableBinding(asked.getOid(), value == null ? Null.noSuchObject : value));
        }
      }
      case PDU.GETNEXT ->
          request
              .getVariableBindings()
              .forEach(asked -> response.add(next(objects, asked.getOid())));
      case PDU.GETBULK -> bulk(objects, request, response);
      default -> {
        response.setErrorStatus(PDU.notWritable);
        response.setErrorIndex(1);
        request.getVariableBindings().forEach(response::add);
      }
    }
  }

  private static void bulk(NavigableMap<OID, Variable> objects, PDU request, PDU response) {
    int single = Math.max(0, Math.min(request.getNonRepeaters(), request.size()));
    OID[] at = new OID[request.size()];
    for (int i = 0; i < at.length; i++) {
      at[i] = request.get(i).getOid();
    }
    int rounds = Math.max(1, Math.min(MOST_BINDINGS, request.getMaxRepetitions()));
    for (int round = 0; round < rounds; round++) {
      for (int i = round == 0 ? 0 : single; i < at.length; i++) {
        boolean wanted = i < single || request.getMaxRepetitions() > 0;
        if (wanted && response.size() < MOST_BINDINGS) {
          VariableBinding next = next(objects, at[i]);
          response.add(next);
          at[i] = next.getOid();
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
      Logger.debug(e, "closing");
    }
  }
}
