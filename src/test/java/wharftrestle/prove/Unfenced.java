package wharftrestle.prove;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Executors;
import wharftrestle.Main;
import wharftrestle.transport.Address;

/**
 * A supervisor without the epoch fence: it presents all controllers to the real supervisor as one,
 * and answers each as if it held the lease. A proof runs it to see that two controllers then
 * conflict.
 */
public final class Unfenced {
  private static final ObjectMapper JSON = new ObjectMapper();

  private Unfenced() {}

  public static void main(String[] args) throws Exception {
    List<String> arguments = new ArrayList<>(Arrays.asList(args));
    int addressIndex = arguments.indexOf("--fleet") + 1;
    InetSocketAddress publicAddress = Address.of(arguments.get(addressIndex));
    int supervisorPort = Address.freePort();
    arguments.set(addressIndex, "127.0.0.1:" + supervisorPort);
    HttpClient client = HttpClient.newHttpClient();
    HttpServer server =
        HttpServer.create(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), publicAddress.getPort()), 16);
    server.setExecutor(Executors.newCachedThreadPool());
    server.createContext(
        "/",
        exchange -> {
          try (exchange;
              InputStream in = exchange.getRequestBody()) {
            URI uri = URI.create("http://127.0.0.1:" + supervisorPort + exchange.getRequestURI());
            byte[] body = in.readAllBytes();
            HttpRequest.Builder request = HttpRequest.newBuilder(uri);
            ObjectNode originalBody = body.length == 0 ? null : (ObjectNode) JSON.readTree(body);
            if (originalBody != null) {
              boolean order = exchange.getRequestURI().getPath().equals("/order");
              ObjectNode forwarded =
                  originalBody
                      .deepCopy()
                      .put("driver", "anybody")
                      .put("epoch", Math.max(1, lastEpoch));
              if (order) {
                // A new epoch for each order, so that only the controller's own lease can stop it.
                ObjectNode claim =
                    JSON.createObjectNode().put("driver", "anybody").put("epoch", nextEpoch());
                ObjectNode granted =
                    send(
                        client,
                        HttpRequest.newBuilder(
                                URI.create("http://127.0.0.1:" + supervisorPort + "/claim"))
                            .POST(HttpRequest.BodyPublishers.ofString(claim.toString()))
                            .build());
                forwarded
                    .put("epoch", granted.path("epoch").asLong())
                    .put("stamp", granted.path("stamp").asLong());
              }
              request.POST(HttpRequest.BodyPublishers.ofString(forwarded.toString()));
            }
            ObjectNode reply = send(client, request.build());
            if (originalBody != null) {
              reply
                  .put("epoch", originalBody.path("epoch").asLong())
                  .put("driver", originalBody.path("driver").asText());
              if (reply.path("answer").asText().equals("FENCED")) {
                reply.put("answer", "STAMPED").put("stamp", 1);
              }
              reply.put("stamp", Math.max(1, reply.path("stamp").asLong()));
            }
            byte[] replyBytes = JSON.writeValueAsBytes(reply);
            exchange.sendResponseHeaders(200, replyBytes.length);
            exchange.getResponseBody().write(replyBytes);
          }
        });
    server.start();
    Main.main(arguments.toArray(new String[0]));
  }

  private static volatile long lastEpoch = 1;

  /** Returns a new epoch, higher than all earlier ones. */
  private static synchronized long nextEpoch() {
    return ++lastEpoch;
  }

  private static ObjectNode send(HttpClient client, HttpRequest request) throws IOException {
    try {
      return (ObjectNode)
          JSON.readTree(client.send(request, HttpResponse.BodyHandlers.ofString()).body());
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }
}
