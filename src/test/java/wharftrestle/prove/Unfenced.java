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
 * A keeper that obeys whoever calls: all drivers are one to it, of one epoch, and each is told that
 * it is the one. What a proof plays beside the real one, and never more.
 */
public final class Unfenced {
  private static final ObjectMapper JSON = new ObjectMapper();

  private Unfenced() {}

  public static void main(String[] args) throws Exception {
    List<String> words = new ArrayList<>(Arrays.asList(args));
    int at = words.indexOf("--fleet") + 1;
    InetSocketAddress front = Address.of(words.get(at));
    int behind = Address.freePort();
    words.set(at, "127.0.0.1:" + behind);
    HttpClient client = HttpClient.newHttpClient();
    HttpServer server =
        HttpServer.create(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), front.getPort()), 16);
    server.setExecutor(Executors.newCachedThreadPool());
    server.createContext(
        "/",
        call -> {
          try (call;
              InputStream in = call.getRequestBody()) {
            URI to = URI.create("http://127.0.0.1:" + behind + call.getRequestURI());
            byte[] body = in.readAllBytes();
            HttpRequest.Builder request = HttpRequest.newBuilder(to);
            ObjectNode asked = body.length == 0 ? null : (ObjectNode) JSON.readTree(body);
            if (asked != null) {
              boolean order = call.getRequestURI().getPath().equals("/order");
              ObjectNode one =
                  asked.deepCopy().put("driver", "anybody").put("epoch", Math.max(1, newest));
              if (order) {
                // A new epoch for each order, so that nothing but the driver's own lease holds it
                // up.
                ObjectNode claim =
                    JSON.createObjectNode().put("driver", "anybody").put("epoch", epoch());
                ObjectNode granted =
                    send(
                        client,
                        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + behind + "/claim"))
                            .POST(HttpRequest.BodyPublishers.ofString(claim.toString()))
                            .build());
                one.put("epoch", granted.path("epoch").asLong())
                    .put("stamp", granted.path("stamp").asLong());
              }
              request.POST(HttpRequest.BodyPublishers.ofString(one.toString()));
            }
            ObjectNode answer = send(client, request.build());
            if (asked != null) {
              answer
                  .put("epoch", asked.path("epoch").asLong())
                  .put("driver", asked.path("driver").asText());
              if (answer.path("answer").asText().equals("FENCED")) {
                answer.put("answer", "STAMPED").put("stamp", 1);
              }
              answer.put("stamp", Math.max(1, answer.path("stamp").asLong()));
            }
            byte[] back = JSON.writeValueAsBytes(answer);
            call.sendResponseHeaders(200, back.length);
            call.getResponseBody().write(back);
          }
        });
    server.start();
    Main.main(words.toArray(new String[0]));
  }

  private static volatile long newest = 1;

  /** A new epoch for each order. */
  private static synchronized long epoch() {
    return ++newest;
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
