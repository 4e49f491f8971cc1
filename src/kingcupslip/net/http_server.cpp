// Connections of the HTTP server, on Boost.Beast.
#include "kingcupslip/net/http_server.hpp"

#include "kingcupslip/net/bounded_body.hpp"
#include "kingcupslip/net/message_read.hpp"
#include "kingcupslip/net/problem.hpp"
#include "kingcupslip/net/socket_options.hpp"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <linux/sockios.h>
#include <optional>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace kingcupslip {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;
using byte_body = http::vector_body<std::uint8_t>;

/// What is read but not parsed yet, a head or a line of a chunked body, takes
/// at most this many times the limit of a head.
constexpr std::size_t unparsed_heads = 2;

/// Of a connection without a request.
constexpr std::size_t max_idle_buffer_bytes = 4UL * 1024;

/// How long, and how many bytes of what a caller sends are discarded after an
/// answer that ends its connection.
constexpr std::chrono::milliseconds discard_timeout{2000};
constexpr std::size_t max_discarded_bytes = 16UL * 1024 * 1024;
/// So many connections beyond the limit, refused or closing, may wait for
/// their callers to close.
constexpr std::size_t max_connections_beyond_limit = 64;

/// When a caller whose request found no memory may try again.
constexpr std::chrono::milliseconds memory_retry_after{1000};

/// How long the server waits before it accepts again after a failure.
constexpr std::chrono::milliseconds accept_retry_period{50};

/// How often a connection with unread bytes is checked for a disconnect.
constexpr std::chrono::milliseconds disconnect_check_period{100};

/// Whether the peer has closed, or shut down its direction; unread bytes do
/// not hide it.
bool is_disconnected(tcp::socket& socket) {
  char byte = 0;
  const ssize_t n =
      recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n <= 0) {
    return n == 0 ||
           (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
  }
  pollfd p{};
  p.fd = socket.native_handle();
  p.events = POLLRDHUP;
  return poll(&p, 1, 0) > 0 && p.revents != 0;
}

/// Bytes that the kernel holds because the peer has not received them yet.
int undelivered_bytes(tcp::socket& socket) {
  int n = 0;
  ioctl(socket.native_handle(), SIOCOUTQ, &n);
  return n;
}

/// The reason for which a request that could not be read is refused; null if
/// the connection closes without a response.
std::optional<reason> reason_for(const error_code& ec) {
  if (ec == http::error::header_limit || ec == http::error::buffer_overflow) {
    return reason::head_too_large;
  }
  if (ec == http::error::body_limit) {
    return reason::body_too_large;
  }
  if (ec == http::error::end_of_stream || ec == asio::error::eof ||
      ec == asio::error::connection_reset ||
      ec == http::error::partial_message) {
    return std::nullopt;
  }
  const bool parse_error =
      ec.category() ==
      http::make_error_code(http::error::bad_method).category();
  return parse_error ? std::optional<reason>(reason::malformed) : std::nullopt;
}

} // namespace

/// One caller's connection. Its pending handlers keep it alive.
class http_session : public std::enable_shared_from_this<http_session> {
public:
  http_session(tcp::socket socket, const server_limits& limits,
               std::shared_ptr<const server_hooks> hooks,
               std::shared_ptr<http_server::shared_state> state,
               std::uint64_t id)
      : m_socket(std::move(socket)), m_timer(m_socket.get_executor()),
        m_limits(limits), m_hooks(std::move(hooks)), m_state(std::move(state)),
        m_id(id), m_buffer(unparsed_heads * m_limits.max_header_bytes) {
    ++m_state->open_connections;
    set_keepalive_options(m_socket);
  }

  http_session(const http_session&) = delete;
  http_session& operator=(const http_session&) = delete;
  ~http_session() {
    set_idle(false);
    set_reading(false);
    set_request_bytes(0);
    uncount_answer();
    set_unanswered(false);
    --m_state->open_connections;
  }

  void start() {
    if (m_state->open_connections > m_limits.max_connections) {
      refuse(reason::too_many_connections);
      return;
    }
    if (m_state->open_connections > idle_connections_give_way_at()) {
      close_longest_idle();
    }
    wait_for_request();
  }

private:
  void wait_for_request() {
    if (m_buffer.size() > 0) {
      read_request();
      return;
    }
    if (m_buffer.capacity() > max_idle_buffer_bytes) {
      m_buffer.shrink_to_fit();
    }
    start_timer(m_limits.idle_timeout, &http_session::on_idle_timeout);
    set_idle(true);
    const std::shared_ptr<http_session> self = shared_from_this();
    m_socket.async_wait(tcp::socket::wait_read, [self](const error_code& ec) {
      self->set_idle(false);
      if (!ec) {
        self->stop_timer();
        self->read_request();
      }
    });
  }

  std::size_t idle_connections_give_way_at() const {
    return m_limits.max_connections - m_limits.max_connections / 10;
  }

  void close_longest_idle() {
    if (!m_state->idle.empty()) {
      m_state->idle.front()->on_idle_timeout();
    }
  }

  void set_idle(bool is_idle) {
    if (m_is_idle == is_idle) {
      return;
    }
    m_is_idle = is_idle;
    if (is_idle) {
      m_idle_position = m_state->idle.insert(m_state->idle.end(), this);
    } else {
      m_state->idle.erase(m_idle_position);
    }
  }

  void on_idle_timeout() {
    error_code ignored;
    if (m_socket.available(ignored) > 0) {
      // The handler of the wait runs next: the loop was held up.
      return;
    }
    cut("idle_timeout");
  }

  void read_request() {
    m_parser.emplace();
    m_parser->header_limit(
        static_cast<std::uint32_t>(m_limits.max_header_bytes));
    m_parser->body_limit(m_limits.max_body_bytes);
    m_parser->get().body().max_bytes = m_limits.max_body_bytes;
    m_timed_out = false;
    m_refused_for_memory = false;
    m_is_head_request = false;
    m_head_bytes = 0;
    set_reading(true);
    start_timer(m_limits.request_timeout, &http_session::on_request_timeout);
    error_code ec;
    const std::size_t n = parse_buffered(m_buffer, *m_parser, ec);
    ec || m_parser->is_done() ? on_read_some(ec, n) : read_some();
  }

  void read_some() {
    const std::shared_ptr<http_session> self = shared_from_this();
    async_read_part(m_socket, m_buffer, *m_parser,
                    [self](const error_code& ec, std::size_t n) {
                      self->on_read_some(ec, n);
                    });
  }

  void on_read_some(const error_code& ec, std::size_t n) {
    if (m_head_bytes == 0) {
      // The parser takes a head when it is complete.
      m_head_bytes = n;
    }
    if (!m_refused_for_memory) {
      set_request_bytes(m_buffer.capacity() + m_head_bytes +
                        m_parser->get().body().bytes.capacity());
      limit_request_bytes();
    }
    if (!ec && !m_refused_for_memory && !m_parser->is_done()) {
      read_some();
      return;
    }
    set_reading(false);
    stop_timer();
    if (m_refused_for_memory) {
      refuse(reason::memory_full, memory_retry_after);
      return;
    }
    on_read(ec);
  }

  void set_reading(bool is_reading) {
    if (m_is_reading == is_reading) {
      return;
    }
    m_is_reading = is_reading;
    if (is_reading) {
      m_reading_position =
          m_state->reading.insert(m_state->reading.end(), this);
    } else {
      m_state->reading.erase(m_reading_position);
    }
  }

  void set_request_bytes(std::size_t n) {
    m_state->request_bytes += n;
    m_state->request_bytes -= std::exchange(m_request_bytes, n);
  }

  /// Refuses requests that are being read, the largest first, as long as the
  /// requests take too much memory.
  void limit_request_bytes() {
    const std::size_t large_requests_limit =
        m_limits.max_request_bytes - m_limits.max_request_bytes / 4;
    while (m_state->request_bytes > large_requests_limit) {
      const auto largest =
          std::max_element(m_state->reading.begin(), m_state->reading.end(),
                           [](const http_session* a, const http_session* b) {
                             return a->m_request_bytes < b->m_request_bytes;
                           });
      const bool has_room =
          largest == m_state->reading.end() ||
          (m_state->request_bytes <= m_limits.max_request_bytes &&
           (*largest)->m_request_bytes <= m_limits.large_request_bytes);
      if (has_room) {
        return;
      }
      (*largest)->refuse_for_memory();
    }
  }

  /// The handler of the pending read answers.
  void refuse_for_memory() {
    if (m_hooks->log) {
      m_hooks->log(event_id::caller_memory_full,
                   {{"connection", std::to_string(m_id)},
                    {"bytes", std::to_string(m_request_bytes)},
                    {"all_bytes", std::to_string(m_state->request_bytes)}});
    }
    error_code ignored;
    m_refused_for_memory = true;
    set_reading(false);
    set_request_bytes(0);
    m_socket.cancel(ignored);
  }

  void on_request_timeout() {
    error_code ignored;
    m_timed_out = true;
    m_socket.cancel(ignored);
    // A read that had just completed continues: it is cancelled next time.
    start_timer(m_limits.request_timeout, &http_session::on_request_timeout);
  }

  void on_read(const error_code& ec) {
    if (ec == asio::error::operation_aborted && m_timed_out) {
      refuse(reason::too_slow);
      return;
    }
    if (ec) {
      const std::optional<reason> why = reason_for(ec);
      why ? refuse(*why) : close();
      return;
    }
    http::request<bounded_body> request = m_parser->release();
    m_keep_alive = request.keep_alive();
    m_is_head_request = request.method() == http::verb::head;
    caller_request r;
    r.method = std::string(request.method_string());
    r.request_target = std::string(request.target());
    r.connection = m_id;
    for (const http::fields::value_type& it : request) {
      r.headers.push_back(
          {std::string(it.name_string()), std::string(it.value())});
    }
    r.body = std::move(request.body().bytes);
    m_handling_request = true;
    ++m_request_number;
    set_unanswered(true);
    watch_for_disconnect();
    const std::shared_ptr<http_session> self = shared_from_this();
    m_hooks->on_request(std::move(r), [self](outcome o) {
      self->end_watch();
      self->respond(std::move(o));
    });
  }

  /// No read is pending while a request is being handled, so this wait is
  /// what detects that the caller has disconnected.
  void watch_for_disconnect() {
    const std::weak_ptr<http_session> weak = shared_from_this();
    const std::uint64_t number = m_request_number;
    m_socket.async_wait(
        tcp::socket::wait_read, [weak, number](const error_code& ec) {
          const std::shared_ptr<http_session> self = weak.lock();
          if (!ec && self && self->m_handling_request &&
              self->m_request_number == number) {
            self->check_for_disconnect();
          }
        });
  }

  void check_for_disconnect() {
    if (!is_disconnected(m_socket)) {
      // The bytes of a next request, left unread until this one is answered,
      // would end another wait at once.
      start_timer(disconnect_check_period, &http_session::check_for_disconnect);
      return;
    }
    m_caller_disconnected = true;
    if (m_hooks->on_disconnect) {
      m_hooks->on_disconnect(m_id);
    }
  }

  void end_watch() {
    error_code ignored;
    m_handling_request = false;
    set_request_bytes(0);
    stop_timer();
    m_socket.cancel(ignored);
  }

  void refuse(reason why, std::chrono::milliseconds retry_after = {}) {
    m_keep_alive = false;
    m_parser.reset();
    set_request_bytes(0);
    respond(refusal(why, verdict::not_run, retry_after));
  }

  void respond(outcome o) {
    if (!m_socket.is_open()) {
      return;
    }
    set_unanswered(true);
    outcome out = m_hooks->encode(std::move(o));
    m_response = {};
    m_response.version(11);
    m_response.result(out.status);
    for (const header& it : out.headers) {
      m_response.insert(it.name, it.value);
    }
    m_keep_open = m_keep_alive && !m_state->keep_alive_disabled;
    m_response.keep_alive(m_keep_open);
    m_response.body() = std::move(out.body);
    m_response.prepare_payload();
    if (m_is_head_request) {
      m_response.body().clear();
    }
    m_serializer.emplace(m_response);
    hold_answer();
    write_response();
  }

  void hold_answer() {
    m_answer_bytes = m_response.body().size();
    m_state->answer_bytes += m_answer_bytes;
    m_position = m_state->answering.insert(m_state->answering.end(), this);
    m_holds_answer = true;
    while (m_state->answer_bytes > m_limits.max_answer_bytes &&
           m_state->answering.front() != this) {
      m_state->answering.front()->cut("answer_memory");
    }
  }

  void uncount_answer() {
    if (std::exchange(m_holds_answer, false)) {
      m_state->answer_bytes -= m_answer_bytes;
      m_state->answering.erase(m_position);
    }
  }

  void write_response() {
    start_timer(m_limits.answer_stall_timeout, &http_session::on_answer_stall);
    const std::shared_ptr<http_session> self = shared_from_this();
    http::async_write_some(
        m_socket, *m_serializer,
        [self](const error_code& ec, std::size_t) { self->on_write(ec); });
    m_undelivered_bytes = undelivered_bytes(m_socket);
  }

  void on_write(const error_code& ec) {
    if (ec) {
      cut("write_failed", ec.message());
      return;
    }
    if (!m_serializer->is_done()) {
      write_response();
      return;
    }
    stop_timer();
    set_unanswered(false);
    uncount_answer();
    m_serializer.reset();
    m_response = {};
    m_keep_open ? wait_for_request() : close_after_answer();
  }

  /// The kernel reports room for more only when much of its buffer is free, so
  /// a caller that reads slowly is known by the bytes that it has taken.
  void on_answer_stall() {
    const int undelivered = undelivered_bytes(m_socket);
    if (undelivered >= m_undelivered_bytes) {
      cut("answer_stalled");
      return;
    }
    m_undelivered_bytes = undelivered;
    start_timer(m_limits.answer_stall_timeout, &http_session::on_answer_stall);
  }

  void start_timer(std::chrono::milliseconds timeout,
                   void (http_session::*action)()) {
    m_timer.expires_after(timeout);
    const std::uint64_t number = ++m_timer_number;
    const std::weak_ptr<http_session> weak = shared_from_this();
    m_timer.async_wait([weak, number, action](const error_code& ec) {
      const std::shared_ptr<http_session> self = weak.lock();
      if (!ec && self && self->m_timer_number == number) {
        (self.get()->*action)();
      }
    });
  }

  /// The handler of a timer that has expired cannot be revoked, so it compares
  /// the number with which the timer was started.
  void stop_timer() {
    ++m_timer_number;
    m_timer.cancel();
  }

  void set_unanswered(bool is_unanswered) {
    if (m_unanswered != is_unanswered) {
      m_unanswered = is_unanswered;
      m_state->unanswered_requests += is_unanswered ? 1 : -1;
    }
  }

  /// Closes the connection; an event tells why if a caller that is still
  /// there does not get its answer.
  void cut(const std::string& why, const std::string& error = {}) {
    if (m_unanswered && !m_caller_disconnected && m_hooks->log) {
      m_hooks->log(event_id::caller_connection_cut,
                   {{"why", why},
                    {"error", error},
                    {"connection", std::to_string(m_id)},
                    {"in_handler", m_handling_request ? "yes" : "no"}});
    }
    close();
  }

  /// A close with unread bytes resets the connection, and a reset destroys
  /// what the caller has not received yet. So the caller is told of the end,
  /// and what it still sends is discarded until it closes.
  void close_after_answer() {
    if (m_state->open_connections >
        m_limits.max_connections + max_connections_beyond_limit) {
      close();
      return;
    }
    error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    start_timer(discard_timeout, &http_session::close);
    discard_received();
  }

  void discard_received() {
    m_buffer.clear();
    const std::shared_ptr<http_session> self = shared_from_this();
    m_socket.async_read_some(m_buffer.prepare(m_buffer.max_size()),
                             [self](const error_code& ec, std::size_t n) {
                               self->m_discarded_bytes += n;
                               ec || self->m_discarded_bytes >
                                           max_discarded_bytes
                                   ? self->close()
                                   : self->discard_received();
                             });
  }

  /// A pending write keeps the answer until its handler has run.
  void close() {
    set_idle(false);
    set_request_bytes(0);
    uncount_answer();
    set_unanswered(false);
    error_code ignored;
    stop_timer();
    m_socket.shutdown(tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
  }

  tcp::socket m_socket;
  asio::steady_timer m_timer;
  /// Number of the timer that was last started or stopped.
  std::uint64_t m_timer_number = 0;
  const server_limits m_limits;
  std::shared_ptr<const server_hooks> m_hooks;
  std::shared_ptr<http_server::shared_state> m_state;
  std::uint64_t m_id;
  boost::beast::flat_buffer m_buffer;
  std::optional<http::request_parser<bounded_body>> m_parser;
  http::response<byte_body> m_response;
  std::optional<http::response_serializer<byte_body>> m_serializer;
  std::size_t m_answer_bytes = 0;
  std::list<http_session*>::iterator m_position; ///< if it holds an answer
  bool m_holds_answer = false;
  std::list<http_session*>::iterator m_idle_position; ///< if it is idle
  bool m_is_idle = false;
  /// Counted in the shared state.
  std::size_t m_request_bytes = 0;
  std::size_t m_head_bytes = 0; ///< at most, of the request's head
  std::list<http_session*>::iterator m_reading_position; ///< if it is reading
  bool m_is_reading = false;
  bool m_refused_for_memory = false;
  int m_undelivered_bytes = 0;
  bool m_keep_alive = true;
  bool m_keep_open = false;
  bool m_is_head_request = false;
  bool m_handling_request = false;
  std::uint64_t m_request_number = 0;
  /// The request has no complete answer; counted in the shared state.
  bool m_unanswered = false;
  bool m_caller_disconnected = false;
  bool m_timed_out = false;
  std::size_t m_discarded_bytes = 0;
};

http_server::http_server(io_loop& loop, const std::string& address,
                         std::uint16_t port, server_limits limits,
                         server_hooks hooks)
    : m_acceptor(loop, tcp::endpoint(asio::ip::make_address(address), port)),
      m_retry_timer(loop), m_limits(limits),
      m_state(std::make_shared<shared_state>()) {
  if (!hooks.encode) {
    hooks.encode = to_http;
  }
  m_hooks = std::make_shared<const server_hooks>(std::move(hooks));
  accept();
}

http_server::~http_server() { stop_accepting(); }

void http_server::stop_accepting() {
  m_state->keep_alive_disabled = true;
  m_state->accepting = false;
  m_retry_timer.cancel();
  error_code ignored;
  m_acceptor.close(ignored);
}

void http_server::accept() {
  // The server may be gone when the handler of a completed accept runs.
  m_acceptor.async_accept(
      [this, state = m_state](const error_code& ec, tcp::socket socket) {
        if (!state->accepting) {
          return;
        }
        if (ec) {
          accept_later();
          return;
        }
        std::make_shared<http_session>(std::move(socket), m_limits, m_hooks,
                                       m_state, ++m_last_connection_id)
            ->start();
        accept();
      });
}

/// Without descriptors an accept fails at once, and again until one is free.
void http_server::accept_later() {
  m_retry_timer.expires_after(accept_retry_period);
  m_retry_timer.async_wait([this, state = m_state](const error_code&) {
    if (state->accepting) {
      accept();
    }
  });
}

} // namespace kingcupslip
