// Exchanges and idle connections of the HTTP client, on Boost.Beast.
#include "kingcupslip/net/http_client.hpp"

#include "kingcupslip/net/bounded_body.hpp"
#include "kingcupslip/net/message_read.hpp"
#include "kingcupslip/net/socket_options.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdlib>
#include <optional>
#include <utility>

namespace kingcupslip {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;
using byte_body = http::vector_body<std::uint8_t>;

constexpr std::size_t max_idle_connections = 256;
/// For peers that advertise no timeout. Peers close idle connections; one
/// that was idle for less than this is still open unless the peer crashed,
/// and a crash closes it visibly.
constexpr duration default_idle_timeout = std::chrono::seconds(4);
constexpr duration idle_timeout_margin = std::chrono::seconds(2);
/// Of a status of HTTP. Beast takes any three digits.
constexpr unsigned min_status = 100;
constexpr unsigned max_status = 599;
constexpr std::uint32_t max_header_bytes = 64 * 1024;
/// For what is read but not parsed yet: a head, or a line or the trailer of a
/// chunked body. Beast throws for a field of 64 KiB.
constexpr std::size_t max_unparsed_bytes = max_header_bytes - 1;
/// Interim responses and those to other requests that may precede a response.
constexpr std::size_t max_skipped_responses = 16;
/// Of a request, that any target takes into its receive buffer.
constexpr std::size_t max_unread_body_bytes = 16UL * 1024;
/// Of an id of another request, in the log.
constexpr std::size_t max_logged_id_bytes = 64;

/// The idle timeout that a peer advertises in `Keep-Alive`, less a margin so
/// that the client does not reuse a connection that the peer is closing.
duration idle_timeout_from(boost::beast::string_view keep_alive) {
  const std::string text(keep_alive);
  const std::size_t at = text.find("timeout=");
  if (at == std::string::npos) {
    return default_idle_timeout;
  }
  const duration advertised =
      std::chrono::seconds(std::atoi(text.c_str() + at + 8));
  return std::max(advertised - idle_timeout_margin, idle_timeout_margin);
}

bool still_open(tcp::socket& socket) {
  error_code ec;
  char byte = 0;
  socket.non_blocking(true, ec);
  socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
  return ec == asio::error::would_block;
}

} // namespace

/// One request and its response. Its pending handlers keep it alive.
class http_exchange : public std::enable_shared_from_this<http_exchange> {
public:
  http_exchange(http_client& client, std::uint64_t id, target_request request,
                http_client::result_handler on_complete)
      : m_client(client), m_id(id), m_time_left(request.time_left),
        m_on_complete(std::move(on_complete)), m_timer(client.m_loop) {
    m_request.method_string(request.method);
    m_request.target(request.path);
    m_request.version(11);
    for (const header& it : request.headers) {
      m_request.insert(it.name, it.value);
    }
    if (m_request.count(http::field::host) == 0) {
      m_request.set(http::field::host, client.m_endpoint.address().to_string());
    }
    m_correlation_header = std::move(request.echoed_header);
    m_echo_required = request.echo_required;
    m_exclusive_connection = request.exclusive_connection;
    m_request.body() = std::move(request.body);
    if (m_request.method() == http::verb::trace) {
      // prepare_payload() throws if such a request has a body.
      m_request.content_length(m_request.body().size());
    } else {
      m_request.prepare_payload();
    }
  }

  void start() {
    m_started_at = read_clocks().now;
    m_timer.expires_after(m_time_left);
    const std::shared_ptr<http_exchange> self = shared_from_this();
    m_timer.async_wait([self](const error_code& ec) {
      if (!ec) {
        if (self->m_reused) {
          self->m_client.discard_idle_before(self->m_started_at);
        }
        self->cancel();
      }
    });
    if (!m_exclusive_connection) {
      m_socket = m_client.take_idle_connection();
    }
    if (m_socket) {
      m_reused = true;
      write();
      return;
    }
    m_socket = std::make_shared<tcp::socket>(m_client.m_loop);
    ++m_client.m_connections_opened;
    m_socket->async_connect(m_client.m_endpoint, [self](const error_code& ec) {
      if (ec) {
        self->finish({exchange_end::not_connected, 0, {}, {}});
        return;
      }
      set_socket_options(*self->m_socket);
      self->write();
    });
  }

  void cancel() {
    finish({m_written ? exchange_end::lost : exchange_end::not_connected,
            0,
            {},
            {}});
  }

  void withdraw() {
    if (!m_written) {
      cancel();
    }
  }

  std::size_t buffered_bytes() const { return m_buffered_bytes; }

  void detach() {
    m_on_complete = nullptr;
    cancel();
  }

private:
  void write() {
    if (!m_on_complete) {
      return;
    }
    m_written = true;
    if (body_may_stall()) {
      set_user_timeout(*m_socket, std::chrono::milliseconds(0));
    }
    const std::shared_ptr<http_exchange> self = shared_from_this();
    http::async_write(*m_socket, m_request,
                      [self](const error_code& ec, std::size_t) {
                        if (ec == asio::error::operation_aborted) {
                          self->finish({exchange_end::lost, 0, {}, {}});
                          return;
                        }
                        self->m_write_failed = bool(ec);
                        // A peer that rejects a long body may have responded
                        // before it closed the connection.
                        self->read();
                      });
  }

  void read() {
    m_answer_bytes = 0;
    m_head_bytes = 0;
    m_parser.emplace();
    m_parser->header_limit(max_header_bytes);
    m_parser->body_limit(m_client.m_max_response_bytes);
    m_parser->get().body().max_bytes = m_client.m_max_response_bytes;
    m_parser->skip(m_request.method() == http::verb::head);
    error_code ec;
    const std::size_t n = parse_buffered(m_buffer, *m_parser, ec);
    if (ec || m_parser->is_done()) {
      on_read_some(ec, n);
      return;
    }
    m_answer_bytes += n;
    read_some();
  }

  void read_some() {
    const std::shared_ptr<http_exchange> self = shared_from_this();
    async_read_part(*m_socket, m_buffer, *m_parser,
                    [self](const error_code& ec, std::size_t n) {
                      self->on_read_some(ec, n);
                    });
  }

  void on_read_some(const error_code& ec, std::size_t n) {
    m_answer_bytes += n;
    m_read_error = ec;
    if (m_on_complete) {
      set_buffered_bytes(held_bytes());
    }
    if (!ec && m_on_complete && !m_parser->is_done()) {
      read_some();
      return;
    }
    on_read(ec);
  }

  void on_read(const error_code& ec) {
    if (ec || !m_on_complete) {
      finish({exchange_end::lost, 0, {}, {}});
      return;
    }
    if (m_write_failed && m_parser->need_eof()) {
      // The write took the error of the connection, so that the end of this
      // answer may be a reset.
      finish({exchange_end::lost, 0, {}, {}});
      return;
    }
    http::response<bounded_body> response = m_parser->release();
    const bool is_status = response.result_int() >= min_status &&
                           response.result_int() <= max_status;
    if (!is_status) {
      finish({exchange_end::lost, 0, {}, {}});
      return;
    }
    // Beast's own class of a status that it has no name for is `unknown`.
    const bool is_interim = response.result_int() / 100 == 1;
    if (is_interim) {
      skip_response();
      return;
    }
    if (!answers_request(response)) {
      m_got_stray_response = true;
      log_stray_response(response);
      skip_response();
      return;
    }
    target_result out;
    out.end = exchange_end::answered;
    out.status = static_cast<std::uint16_t>(response.result_int());
    for (const http::fields::value_type& it : response) {
      out.headers.push_back(
          {std::string(it.name_string()), std::string(it.value())});
    }
    const bool reusable = response.keep_alive() && m_buffer.size() == 0 &&
                          !m_got_stray_response && !m_write_failed &&
                          !m_exclusive_connection && echoes_id(response);
    out.body = std::move(response.body().bytes);
    if (reusable && body_may_stall()) {
      set_user_timeout(*m_socket, default_user_timeout);
    }
    if (reusable) {
      m_client.add_idle_connection(
          std::move(m_socket),
          idle_timeout_from(response[http::field::keep_alive]));
    }
    finish(std::move(out));
  }

  /// A target may take its time to read a long body, and the user timeout would
  /// end its connection meanwhile. Such a request has its deadline only.
  bool body_may_stall() const {
    return m_request.body().size() > max_unread_body_bytes;
  }

  /// Whether the response can be told from that to another request. One without
  /// an id may belong to any request, or to none, unless it is the first on its
  /// connection.
  bool answers_request(const http::response<bounded_body>& response) const {
    const bool has_id = response.count(m_correlation_header.name) > 0;
    const bool may_lack_id = !m_echo_required && !m_reused;
    return echoes_id(response) || (!has_id && may_lack_id);
  }

  /// Whether the response repeats the id of the request and no other one, or no
  /// id is expected.
  bool echoes_id(const http::response<bounded_body>& response) const {
    if (m_correlation_header.name.empty()) {
      return true;
    }
    const auto ids = response.equal_range(m_correlation_header.name);
    return ids.first != ids.second &&
           std::all_of(ids.first, ids.second,
                       [this](const http::fields::value_type& it) {
                         return it.value() == m_correlation_header.value;
                       });
  }

  void log_stray_response(const http::response<bounded_body>& response) {
    if (!m_client.m_log) {
      return;
    }
    const boost::beast::string_view id = response[m_correlation_header.name];
    m_client.m_log(
        event_id::answer_skipped,
        {{"request", m_correlation_header.value},
         {"status", std::to_string(response.result_int())},
         {"answer_id", std::string(id.substr(0, max_logged_id_bytes))}});
  }

  void skip_response() {
    if (++m_skipped_responses > max_skipped_responses) {
      finish({exchange_end::lost, 0, {}, {}});
      return;
    }
    read();
  }

  /// What this exchange holds of responses: what is not parsed yet, the head
  /// and the body. The parser takes a head when it is complete.
  std::size_t held_bytes() {
    if (!m_parser->is_header_done() || m_head_bytes == 0) {
      m_head_bytes = m_answer_bytes;
    }
    return m_buffer.capacity() + m_head_bytes +
           m_parser->get().body().bytes.capacity();
  }

  /// May end this exchange, if its response takes most of the memory.
  void set_buffered_bytes(std::size_t n) {
    m_client.m_buffered_bytes += n;
    m_client.m_buffered_bytes -= m_buffered_bytes;
    m_buffered_bytes = n;
    m_client.limit_buffered_bytes();
  }

  void finish(target_result result) {
    if (m_socket) {
      error_code ignored;
      m_socket->close(ignored);
    }
    m_timer.cancel();
    if (!m_on_complete) {
      // Ended before, or the client is gone.
      return;
    }
    m_client.m_buffered_bytes -= std::exchange(m_buffered_bytes, 0);
    m_client.m_exchanges.erase(m_id);
    if (result.end == exchange_end::lost && m_parser) {
      result.partial = partial();
    }
    const http_client::result_handler on_complete =
        std::exchange(m_on_complete, nullptr);
    on_complete(std::move(result));
  }

  partial_answer partial() {
    partial_answer out;
    out.bytes = m_answer_bytes + m_buffer.size();
    out.head_complete = m_parser->is_header_done();
    out.body_bytes = m_parser->get().body().bytes.size();
    out.error = m_read_error ? m_read_error.message() : "";
    return out;
  }

  http_client& m_client;
  std::uint64_t m_id;
  duration m_time_left;
  http_client::result_handler m_on_complete;
  asio::steady_timer m_timer;
  std::shared_ptr<tcp::socket> m_socket;
  http::request<byte_body> m_request;
  boost::beast::flat_buffer m_buffer{max_unparsed_bytes};
  std::optional<http::response_parser<bounded_body>> m_parser;
  std::size_t m_buffered_bytes = 0;
  std::size_t m_skipped_responses = 0;
  std::size_t m_answer_bytes = 0; ///< that the parser has taken
  std::size_t m_head_bytes = 0;   ///< of them, at most, in the head
  error_code m_read_error;
  header m_correlation_header;
  instant m_started_at{0};
  bool m_echo_required = true;
  bool m_exclusive_connection = false;
  bool m_got_stray_response = false;
  bool m_reused = false;
  bool m_written = false;
  bool m_write_failed = false;
};

http_client::http_client(io_loop& loop, tcp::endpoint endpoint, event_sink log,
                         std::size_t max_response_bytes,
                         std::size_t max_buffered_bytes)
    : m_loop(loop), m_endpoint(std::move(endpoint)), m_log(std::move(log)),
      m_max_response_bytes(max_response_bytes),
      m_max_buffered_bytes(max_buffered_bytes) {}

http_client::~http_client() {
  const std::map<std::uint64_t, std::weak_ptr<http_exchange>> exchanges =
      std::move(m_exchanges);
  for (const std::pair<const std::uint64_t, std::weak_ptr<http_exchange>>& it :
       exchanges) {
    if (const std::shared_ptr<http_exchange> exchange = it.second.lock()) {
      exchange->detach();
    }
  }
}

void http_client::send(std::uint64_t id, target_request request,
                       result_handler on_complete) {
  const std::shared_ptr<http_exchange> exchange =
      std::make_shared<http_exchange>(*this, id, std::move(request),
                                      std::move(on_complete));
  m_exchanges[id] = exchange;
  exchange->start();
}

void http_client::cancel(std::uint64_t id) {
  const auto it = m_exchanges.find(id);
  if (it == m_exchanges.end()) {
    return;
  }
  if (const std::shared_ptr<http_exchange> exchange = it->second.lock()) {
    exchange->cancel();
  }
}

void http_client::withdraw(std::uint64_t id) {
  const auto it = m_exchanges.find(id);
  if (it == m_exchanges.end()) {
    return;
  }
  if (const std::shared_ptr<http_exchange> exchange = it->second.lock()) {
    exchange->withdraw();
  }
}

void http_client::limit_buffered_bytes() {
  while (m_buffered_bytes > m_max_buffered_bytes) {
    std::shared_ptr<http_exchange> largest;
    for (const std::pair<const std::uint64_t, std::weak_ptr<http_exchange>>&
             it : m_exchanges) {
      const std::shared_ptr<http_exchange> exchange = it.second.lock();
      const bool larger =
          exchange &&
          (!largest || exchange->buffered_bytes() > largest->buffered_bytes());
      largest = larger ? exchange : largest;
    }
    if (!largest) {
      return;
    }
    largest->cancel();
  }
}

std::shared_ptr<tcp::socket> http_client::take_idle_connection() {
  const instant now = read_clocks().now;
  while (!m_idle.empty()) {
    const idle_connection c = m_idle.front();
    m_idle.pop_front();
    if (now < c.expires_at && still_open(*c.socket)) {
      return c.socket;
    }
  }
  return nullptr;
}

void http_client::add_idle_connection(std::shared_ptr<tcp::socket> socket,
                                      duration idle_timeout) {
  const instant now = read_clocks().now;
  m_idle.push_front({std::move(socket), now, now + idle_timeout});
  if (m_idle.size() > max_idle_connections) {
    m_idle.pop_back();
  }
}

void http_client::discard_idle_before(instant cutoff) {
  m_idle.remove_if(
      [cutoff](const idle_connection& c) { return c.idle_since < cutoff; });
}

} // namespace kingcupslip
