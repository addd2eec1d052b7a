import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.apache.ratis.client.RaftClient;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.grpc.GrpcConfigKeys;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftGroup;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.retry.RetryPolicies;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.RaftServerConfigKeys;
import org.apache.ratis.statemachine.TransactionContext;
import org.apache.ratis.statemachine.impl.BaseStateMachine;
import org.apache.ratis.util.TimeDuration;
import org.jgroups.JChannel;
import org.jgroups.PhysicalAddress;
import org.jgroups.protocols.TCP;
import org.jgroups.protocols.TCPPING;
import org.jgroups.protocols.FD_ALL3;
import org.jgroups.protocols.UNICAST3;
import org.jgroups.protocols.pbcast.GMS;
import org.jgroups.protocols.pbcast.NAKACK2;
import org.jgroups.protocols.pbcast.STABLE;
import org.jgroups.protocols.raft.ELECTION;
import org.jgroups.protocols.raft.RAFT;
import org.jgroups.protocols.raft.REDIRECT;
import org.jgroups.raft.RaftHandle;
import org.jgroups.raft.StateMachine;
import org.jgroups.stack.IpAddress;
import wharftrestle.testbed.FaultProxy;
import wharftrestle.testbed.FaultRule;
import wharftrestle.transport.Address;

/**
 * Three members of a group that agrees, each a process of its own, with a link of the rig before each: what a member weighs,
 * how long it takes until one leads, and until a word is agreed on after the leader is killed, cut off, or cut off one way.
 */
public final class Drivers {
    private static final int MEMBERS = 3;
    private static final RaftGroupId GROUP =
            RaftGroupId.valueOf(new java.util.UUID(7, 7));

    private Drivers() { }

    public static void main(String[] args) throws Exception {
        switch (args[0]) {
            case "ratis" -> ratis(Path.of(args[1]));
            case "ratis-member" -> ratisMember(args);
            case "jgroups" -> weigh("jgroups", Path.of(args[1]));
            case "jgroups-member" -> jgroupsMember(args);
            default -> throw new IllegalArgumentException(args[0]);
        }
    }

    private static Process member(String kind, Path folder, int at, List<Integer> own, List<Integer> seen) throws IOException {
        List<String> command = new ArrayList<>(List.of(System.getProperty("java.home") + "/bin/java", "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1", "-Xmx40m", "-Xss192k", "-cp", System.getProperty("java.class.path"), "Drivers",
                kind + "-member", folder.toString(), Integer.toString(at), Integer.toString(own.get(at))));
        seen.forEach(port -> command.add(Integer.toString(port)));
        return new ProcessBuilder(command).redirectErrorStream(true)
                .redirectOutput(folder.resolve("member-" + at + ".log").toFile()).start();
    }

    private static String memory(Process process) throws IOException {
        StringBuilder all = new StringBuilder();
        for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
            if (line.startsWith("VmRSS") || line.startsWith("RssAnon") || line.startsWith("Threads")) {
                all.append(line.replaceAll("\\s+", " ")).append("; ");
            }
        }
        return all.toString();
    }

    // ---- Ratis ----

    private static RaftGroup group(List<Integer> seen) {
        List<RaftPeer> peers = new ArrayList<>();
        for (int i = 0; i < seen.size(); i++) {
            peers.add(RaftPeer.newBuilder().setId("m" + i).setAddress("127.0.0.1:" + seen.get(i)).build());
        }
        return RaftGroup.valueOf(GROUP, peers);
    }

    private static RaftProperties properties() {
        RaftProperties set = new RaftProperties();
        RaftServerConfigKeys.Rpc.setTimeoutMin(set, TimeDuration.valueOf(500, TimeUnit.MILLISECONDS));
        RaftServerConfigKeys.Rpc.setTimeoutMax(set, TimeDuration.valueOf(1000, TimeUnit.MILLISECONDS));
        return set;
    }

    private static void ratisMember(String[] args) throws Exception {
        List<Integer> seen = new ArrayList<>();
        for (int i = 4; i < args.length; i++) {
            seen.add(Integer.parseInt(args[i]));
        }
        RaftProperties set = properties();
        RaftServerConfigKeys.setStorageDir(set, List.of(new File(args[1], "m" + args[2])));
        GrpcConfigKeys.Server.setPort(set, Integer.parseInt(args[3]));
        RaftServer server = RaftServer.newBuilder().setGroup(group(seen)).setServerId(RaftPeerId.valueOf("m" + args[2]))
                .setProperties(set).setStateMachine(new BaseStateMachine() {
                    @Override
                    public CompletableFuture<Message> applyTransaction(TransactionContext words) {
                        return CompletableFuture.completedFuture(Message.valueOf("ok"));
                    }
                }).build();
        server.start();
        Thread.currentThread().join();
    }

    private static RaftClient client(List<Integer> seen) {
        return RaftClient.newBuilder().setProperties(properties()).setRaftGroup(group(seen))
                .setRetryPolicy(RetryPolicies.retryForeverWithSleep(TimeDuration.valueOf(50, TimeUnit.MILLISECONDS))).build();
    }

    /** Milliseconds until a word is agreed on; -1 where it is not in 30 s. The reply names who led. */
    private static String agreed(ExecutorService pool, RaftClient client, long began) throws Exception {
        Future<String> reply = pool.submit(() -> client.io().send(Message.valueOf("word")).getServerId().toString());
        try {
            String leader = reply.get(30, TimeUnit.SECONDS);
            return leader + " after " + (System.nanoTime() - began) / 1_000_000 + " ms";
        } catch (java.util.concurrent.TimeoutException e) {
            return "nobody in 30 s";
        }
    }

    private static void ratis(Path folder) throws Exception {
        ExecutorService pool = Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        });
        for (String fault : List.of("killed", "stopped", "cut off", "one way")) {
            Path own = Files.createDirectories(folder.resolve(fault.replace(' ', '-')));
            List<Integer> ports = new ArrayList<>();
            List<Integer> seen = new ArrayList<>();
            List<FaultProxy> links = new ArrayList<>();
            List<Process> members = new ArrayList<>();
            for (int i = 0; i < MEMBERS; i++) {
                ports.add(Address.freePort());
                FaultProxy link = new FaultProxy(new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.get(i)), i);
                links.add(link);
                seen.add(link.address().getPort());
            }
            long began = System.nanoTime();
            for (int i = 0; i < MEMBERS; i++) {
                members.add(member("ratis", own, i, ports, seen));
            }
            try (RaftClient client = client(seen)) {
                String first = agreed(pool, client, began);
                long burst = System.nanoTime();
                for (int i = 0; i < 200; i++) {
                    client.io().send(Message.valueOf("word " + i));
                }
                double each = (System.nanoTime() - burst) / 200 / 1e6;
                int leader = first.charAt(1) - '0';
                System.out.printf(Locale.ROOT, "ratis: %s; a word %.2f ms; leader: %s%n", first, each,
                        memory(members.get(leader)));
                long at = System.nanoTime();
                switch (fault) {
                    case "killed" -> members.get(leader).destroyForcibly().waitFor();
                    case "stopped" -> new ProcessBuilder("kill", "-STOP", Long.toString(members.get(leader).pid())).start()
                            .waitFor();
                    case "cut off" -> links.get(leader).cut();
                    default -> links.get(leader).trouble(FaultRule.Trouble.HOLE, 0, 0, true, false);
                }
                System.out.println("  leader " + fault + ": " + agreed(pool, client, at));
            } finally {
                members.forEach(Process::destroyForcibly);
                for (FaultProxy link : links) {
                    link.close();
                }
            }
        }
        System.exit(0);
    }

    // ---- JGroups, for its weight alone ----

    private static void jgroupsMember(String[] args) throws Exception {
        List<PhysicalAddress> seen = new ArrayList<>();
        for (int i = 4; i < args.length; i++) {
            seen.add(new IpAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(args[i])));
        }
        TCP tcp = new TCP();
        tcp.setBindAddress(InetAddress.getLoopbackAddress()).setBindPort(Integer.parseInt(args[3]));
        TCPPING ping = new TCPPING();
        ping.setInitialHosts2(seen);
        RAFT raft = new RAFT();
        raft.raftId("m" + args[2]);
        raft.members(List.of("m0", "m1", "m2"));
        raft.logDir(args[1]);
        JChannel channel = new JChannel(tcp, ping, new FD_ALL3(), new NAKACK2(), new UNICAST3(), new STABLE(), new GMS(),
                new ELECTION(), raft, new REDIRECT());
        channel.name("m" + args[2]);
        RaftHandle handle = new RaftHandle(channel, new StateMachine() {
            @Override
            public byte[] apply(byte[] data, int offset, int length, boolean serialize) {
                return new byte[] {1};
            }

            @Override
            public void readContentFrom(java.io.DataInput in) { }

            @Override
            public void writeContentTo(java.io.DataOutput out) { }
        });
        long began = System.nanoTime();
        channel.connect("drivers");
        for (int i = 0; i < 200;) {
            try {
                handle.set(new byte[] {1}, 0, 1, 5, TimeUnit.SECONDS);
                if (i++ == 0) {
                    System.out.println("first word after " + (System.nanoTime() - began) / 1_000_000 + " ms");
                }
            } catch (Exception noLeader) {
                Thread.sleep(50);
            }
        }
        System.out.println("200 words after " + (System.nanoTime() - began) / 1_000_000 + " ms");
        Thread.currentThread().join();
    }

    private static void weigh(String kind, Path folder) throws Exception {
        Files.createDirectories(folder);
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < MEMBERS; i++) {
            ports.add(Address.freePort());
        }
        List<Process> members = new ArrayList<>();
        try {
            for (int i = 0; i < MEMBERS; i++) {
                members.add(member(kind, folder, i, ports, ports));
            }
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(40);
            while (System.nanoTime() < until
                    && !Files.readString(folder.resolve("member-0.log")).contains("200 words")) {
                Thread.sleep(100);
            }
            System.out.println(kind + ": " + memory(members.get(0)) + Files.readAllLines(folder.resolve("member-0.log"))
                    .stream().filter(line -> line.contains(" words ") || line.contains("first word")).toList());
        } finally {
            members.forEach(Process::destroyForcibly);
        }
        System.exit(0);
    }
}
