// Tests answers that end before they are complete, at each of their bytes: an
// exchange is answered only by a whole answer.
#include "kingcupslip/net/http_client.hpp"

#include <CppUTest/TestHarness.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace kingcupslip;
using std::chrono::milliseconds;

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

enum class stream_end : std::uint8_t { closed, reset };

/// What a server sends on a connection before it ends it.
struct script {
  /// An answer with a length that precedes the one that is cut, so that the
  /// exchange runs on a kept connection.
  bool kept = false;
  bool byte_by_byte = false;
  std::string answer;
  stream_end end = stream_end::closed;
};

const std::string first_answer =
    "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n"
    "Keep-Alive: timeout=5\r\nContent-Length: 5\r\n\r\nfirst";

/// Reads requests without a body and answers as its script says.
class cutting_server {
public:
  explicit cutting_server(io_loop& loop)
      : m_loop(loop), m_acceptor(loop, {asio::ip::address_v4::loopback(), 0}) {
    accept();
  }

  tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }
  script next;

private:
  struct connection {
    explicit connection(io_loop& loop) : socket(loop) {}
    tcp::socket socket;
    asio::streambuf request;
    script plan;
    std::size_t written = 0;
  };

  void accept() {
    const std::shared_ptr<connection> c = std::make_shared<connection>(m_loop);
    m_acceptor.async_accept(c->socket, [this, c](const error_code& ec) {
      if (ec) {
        return;
      }
      c->socket.set_option(tcp::no_delay(true));
      c->plan = next;
      read(c);
      accept();
    });
  }

  void read(const std::shared_ptr<connection>& c) {
    asio::async_read_until(c->socket, c->request, "\r\n\r\n",
                           [this, c](const error_code& ec, std::size_t n) {
                             if (ec) {
                               return;
                             }
                             c->request.consume(n);
                             if (c->plan.kept) {
                               c->plan.kept = false;
                               asio::write(c->socket,
                                           asio::buffer(first_answer));
                               read(c);
                               return;
                             }
                             write(c);
                           });
  }

  void write(const std::shared_ptr<connection>& c) {
    const std::size_t left = c->plan.answer.size() - c->written;
    if (left == 0) {
      end(*c);
      return;
    }
    const std::size_t n = c->plan.byte_by_byte ? 1 : left;
    const asio::const_buffer block =
        asio::buffer(c->plan.answer.data() + c->written, n);
    c->written += n;
    asio::async_write(c->socket, block,
                      [this, c](const error_code& ec, std::size_t) {
                        if (!ec) {
                          write(c);
                        }
                      });
  }

  static void end(connection& c) {
    if (c.plan.end == stream_end::reset) {
      c.socket.set_option(asio::socket_base::linger(true, 0));
    }
    error_code ignored;
    c.socket.close(ignored);
  }

  io_loop& m_loop;
  tcp::acceptor m_acceptor;
};

/// An answer, and from which of its bytes on it is whole.
struct answer_case {
  const char* name;
  std::string head;
  std::string rest;
  std::string body;
  /// Whether the body ends with its connection.
  bool ends_with_connection = false;
  std::string method = "GET";
};

constexpr milliseconds time_left{2000};

target_result exchange_with(io_loop& loop, http_client& client,
                            const std::string& method, body_bytes body = {},
                            const header& echoed = {}) {
  static std::uint64_t last_id = 0;
  target_request r;
  r.method = method;
  r.path = "/";
  r.time_left = time_left;
  r.body = std::move(body);
  r.echoed_header = echoed;
  bool done = false;
  target_result out;
  client.send(++last_id, std::move(r), [&done, &out](target_result t) {
    out = std::move(t);
    done = true;
  });
  while (!done) {
    loop.run_one_for(milliseconds(10));
  }
  return out;
}

/// The result of an exchange that gets the first `n` bytes of an answer.
target_result result_of_cut(cutting_server& server, io_loop& loop,
                            const answer_case& c, std::size_t n, script s) {
  s.answer = (c.head + c.rest).substr(0, n);
  server.next = s;
  http_client client(loop, server.endpoint());
  if (s.kept) {
    const target_result first = exchange_with(loop, client, "GET");
    CHECK_TEXT(exchange_end::answered == first.end, c.name);
  }
  const target_result r = exchange_with(loop, client, c.method);
  LONGS_EQUAL_TEXT(1, client.connections_opened(), c.name);
  return r;
}

void check_cut(cutting_server& server, io_loop& loop, const answer_case& c,
               std::size_t n, const script& s) {
  const target_result r = result_of_cut(server, loop, c, n, s);
  const bool reset = s.end == stream_end::reset;
  const bool whole = c.ends_with_connection
                         ? n >= c.head.size() && !reset
                         : n == c.head.size() + c.rest.size();
  const std::string text = std::string(c.name) + ", " + std::to_string(n) +
                           " bytes, " + (reset ? "reset" : "closed") +
                           (s.kept ? ", kept" : "") +
                           (s.byte_by_byte ? ", byte by byte" : "");
  CHECK_TEXT((r.end == exchange_end::answered) == whole, text.c_str());
  CHECK_TEXT(whole || r.end == exchange_end::lost, text.c_str());
  if (!whole) {
    CHECK_TEXT(r.body.empty() && r.headers.empty(), text.c_str());
    return;
  }
  const std::string body(r.body.begin(), r.body.end());
  const std::string expected =
      c.ends_with_connection ? c.body.substr(0, n - c.head.size()) : c.body;
  STRCMP_EQUAL_TEXT(expected.c_str(), body.c_str(), text.c_str());
}

/// Cuts the answer at each of its bytes, in each way.
void check_each_cut(const answer_case& c) {
  io_loop loop;
  cutting_server server(loop);
  for (std::size_t n = 0; n <= c.head.size() + c.rest.size(); ++n) {
    for (const stream_end end : {stream_end::closed, stream_end::reset}) {
      for (const bool kept : {false, true}) {
        script s;
        s.kept = kept;
        s.end = end;
        check_cut(server, loop, c, n, s);
      }
    }
  }
}

const std::string ok_line = "HTTP/1.1 200 OK\r\n";
const std::string signature = "X-Signature: ab.12\r\n";

answer_case sized_answer() {
  return {"length", ok_line + signature + "Content-Length: 12\r\n\r\n",
          "twelve bytes", "twelve bytes"};
}

answer_case chunked_answer() {
  return {"chunks",
          ok_line + signature +
              "Transfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n",
          "4\r\nfour\r\nb;ext=1\r\neleven more\r\n0\r\nX-End: 1\r\n\r\n",
          "foureleven more"};
}

answer_case unsized_answer() {
  return {"no length", ok_line + signature + "\r\n", "until the end",
          "until the end", true};
}

} // namespace

// clang-format off
TEST_GROUP(cut_response){
};
// clang-format on

// An answer whose endpoint stopped within its head, or its body, was passed on
// as a whole one.
TEST(cut_response, a_cut_answer_with_a_length_is_lost) {
  check_each_cut(sized_answer());
}

TEST(cut_response, a_cut_empty_answer_is_lost) {
  check_each_cut(
      {"empty", ok_line + signature + "Content-Length: 0\r\n\r\n", "", ""});
}

TEST(cut_response, a_cut_chunked_answer_is_lost) {
  check_each_cut(chunked_answer());
}

TEST(cut_response, a_chunked_answer_without_trailers_is_lost_if_cut) {
  check_each_cut({"chunks without trailers",
                  ok_line + "Transfer-Encoding: chunked\r\n\r\n",
                  "4\r\nfour\r\n0\r\n\r\n", "four"});
}

TEST(cut_response, an_answer_without_a_length_ends_with_its_connection) {
  check_each_cut(unsized_answer());
}

TEST(cut_response, an_answer_of_http_1_0_is_lost_if_cut) {
  check_each_cut(
      {"HTTP/1.0 with a length",
       "HTTP/1.0 200 OK\r\n" + signature + "Content-Length: 4\r\n\r\n", "four",
       "four"});
  check_each_cut({"HTTP/1.0 without a length",
                  "HTTP/1.0 200 OK\r\n" + signature + "\r\n", "four", "four",
                  true});
}

TEST(cut_response, an_answer_after_an_interim_one_is_lost_if_cut) {
  check_each_cut({"interim",
                  "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n" + ok_line +
                      signature + "Content-Length: 4\r\n\r\n",
                  "four", "four"});
  check_each_cut(
      {"interim, no length",
       "HTTP/1.1 100 Continue\r\n\r\n" + ok_line + signature + "\r\n", "four",
       "four", true});
}

TEST(cut_response, an_answer_without_a_body_is_lost_if_cut) {
  check_each_cut(
      {"HEAD", ok_line + "Content-Length: 12\r\n\r\n", "", "", false, "HEAD"});
  check_each_cut(
      {"204", "HTTP/1.1 204 No Content\r\n" + signature + "\r\n", "", ""});
  check_each_cut(
      {"304", "HTTP/1.1 304 Not Modified\r\n" + signature + "\r\n", "", ""});
}

TEST(cut_response, a_cut_answer_that_arrives_byte_by_byte_is_lost) {
  io_loop loop;
  cutting_server server(loop);
  for (const answer_case& c :
       {sized_answer(), chunked_answer(), unsized_answer()}) {
    for (std::size_t n = 0; n <= c.head.size() + c.rest.size(); ++n) {
      script s;
      s.byte_by_byte = true;
      s.kept = n % 2 == 0;
      s.end = n % 3 == 0 ? stream_end::reset : stream_end::closed;
      check_cut(server, loop, c, n, s);
    }
  }
}

// Lines that end with a line feed alone end no head, so that a cut one cannot
// be taken for a whole one.
TEST(cut_response, a_head_with_bare_line_feeds_is_no_answer) {
  io_loop loop;
  cutting_server server(loop);
  const std::string answer = "HTTP/1.1 200 OK\nContent-Length: 4\n\nfour";
  for (std::size_t n = 0; n <= answer.size(); ++n) {
    script s;
    s.kept = n % 2 == 0;
    const answer_case c{"line feeds", answer, "", ""};
    const target_result r = result_of_cut(server, loop, c, n, s);
    CHECK(exchange_end::lost == r.end);
  }
}

namespace {

/// Reads the head of a request, answers, and resets the connection while the
/// body of the request is still being written.
target_result result_of_early_reset(const std::string& answer) {
  constexpr std::size_t request_body_bytes = 32UL * 1024 * 1024;
  io_loop loop;
  cutting_server server(loop);
  server.next.answer = answer;
  server.next.end = stream_end::reset;
  http_client client(loop, server.endpoint());
  return exchange_with(loop, client, "POST",
                       body_bytes(request_body_bytes, 'b'));
}

} // namespace

// The failed write of a long request took the error of a reset connection, and
// the short body before it was passed on as a whole one.
TEST(cut_response, an_answer_without_a_length_is_lost_if_its_request_is_reset) {
  const target_result r = result_of_early_reset(ok_line + "\r\nshort");
  CHECK(exchange_end::lost == r.end);
}

// An endpoint that rejects a long body may answer before it closes.
TEST(cut_response, an_early_answer_with_a_length_survives_a_reset) {
  const target_result r = result_of_early_reset(
      "HTTP/1.1 413 Too Large\r\nContent-Length: 4\r\n\r\nfour");
  CHECK(exchange_end::answered == r.end);
  LONGS_EQUAL(413, r.status);
}

// An endpoint that ended its head before its framing and its id, and closed,
// answered with a short body that was passed on as a whole one.
TEST(cut_response, an_answer_with_neither_a_length_nor_its_id_is_lost) {
  io_loop loop;
  cutting_server server(loop);
  const header id{"Request-Id", "own"};
  for (const char* fields : {"", "X-Signature: ab.12\r\n"}) {
    server.next.answer = ok_line + fields + "\r\nshort";
    http_client client(loop, server.endpoint());
    const target_result r = exchange_with(loop, client, "GET", {}, id);
    CHECK(exchange_end::lost == r.end);
  }
  server.next.answer = ok_line + "Request-Id: own\r\n\r\nwhole";
  http_client client(loop, server.endpoint());
  const target_result r = exchange_with(loop, client, "GET", {}, id);
  CHECK(exchange_end::answered == r.end);
}

// The log did not tell an answer that was cut from one that never came.
TEST(cut_response, a_lost_exchange_says_how_far_its_answer_got) {
  io_loop loop;
  cutting_server server(loop);
  const answer_case c = sized_answer();
  const std::size_t head = c.head.size();
  const target_result none = result_of_cut(server, loop, c, 0, {});
  LONGS_EQUAL(0, none.partial.bytes);
  const target_result in_head = result_of_cut(server, loop, c, head - 1, {});
  LONGS_EQUAL(head - 1, in_head.partial.bytes);
  CHECK_FALSE(in_head.partial.head_complete);
  const target_result in_body = result_of_cut(server, loop, c, head + 5, {});
  LONGS_EQUAL(head + 5, in_body.partial.bytes);
  CHECK(in_body.partial.head_complete);
  LONGS_EQUAL(5, in_body.partial.body_bytes);
  CHECK_FALSE(in_body.partial.error.empty());
  script reset_early;
  reset_early.end = stream_end::reset;
  const target_result reset =
      result_of_cut(server, loop, c, head + 5, reset_early);
  LONGS_EQUAL(5, reset.partial.body_bytes);
}

// A status outside the protocol, of bytes that are no answer, was passed on.
TEST(cut_response, an_answer_whose_status_is_none_is_lost) {
  io_loop loop;
  cutting_server server(loop);
  for (const char* status : {"000", "099", "600", "999"}) {
    server.next.answer =
        "HTTP/1.1 " + std::string(status) + " X\r\nContent-Length: 2\r\n\r\nab";
    http_client client(loop, server.endpoint());
    const target_result r = exchange_with(loop, client, "GET");
    CHECK_TEXT(exchange_end::lost == r.end, status);
  }
  server.next.answer = "HTTP/1.1 599 X\r\nContent-Length: 2\r\n\r\nab";
  http_client client(loop, server.endpoint());
  const target_result r = exchange_with(loop, client, "GET");
  CHECK(exchange_end::answered == r.end);
}
