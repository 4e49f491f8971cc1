// Connections of the HTTP server, on Boost.Beast.
#include "kingcupslip/net/http_server.hpp"

#include "kingcupslip/net/bounded_body.hpp"
#include "kingcupslip/net/message_read.hpp"
#include "kingcupslip/net/problem.hpp"
#include "kingcupslip/net/socket_options.hpp"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <deque>
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
///
/// Requests are read one after the other. With pipelining, the next one is read
/// while earlier ones are handled. Answers are written in the order of the
/// requests.
class http_session : public std::enable_shared_from_this<http_session> {
public:
  http_session(tcp::socket socket, const server_limits& limits,
               std::shared_ptr<const server_hooks> hooks,
               std::shared_ptr<http_server::shared_state> state,
               std::uint64_t id)
      : m_socket(std::move(socket)), m_read_timer(m_socket.get_executor()),
        m_write_timer(m_socket.get_executor()), m_limits(limits),
        m_hooks(std::move(hooks)), m_state(std::move(state)), m_id(id),
        m_buffer(unparsed_heads * m_limits.max_header_bytes) {
    ++m_state->open_connections;
    set_keepalive_options(m_socket);
  }

  http_session(const http_session&) = delete;
  http_session& operator=(const http_session&) = delete;
  ~http_session() {
    set_idle(false);
    set_reading(false);
    set_request_bytes(0);
    drop_exchanges();
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
    read_next();
  }

private:
  /// A request that has been read, until its answer has been written.
  struct exchange {
    std::uint64_t number = 0;
    bool keep_alive = false;
    bool is_head = false;
    bool may_overlap = false;
    bool handling = false;
    std::size_t request_bytes = 0; ///< counted in the shared state
    /// Not passed on yet: it has to run alone.
    std::optional<caller_request> held;
    instant read_at{0};
    std::optional<outcome> answer;
    std::size_t answer_bytes = 0; ///< counted in the shared state
  };

  /// A timer whose handler cannot be revoked once it has expired, so it
  /// compares the number with which the timer was started.
  struct session_timer {
    explicit session_timer(const tcp::socket::executor_type& e) : timer(e) {}
    asio::steady_timer timer;
    std::uint64_t number = 0; ///< of the last start or stop
  };

  /// Whether the next request may be read now. One that cannot run beside the
  /// others is read, too, so that its caller's disconnect is noticed; it waits.
  bool may_read_next() const {
    if (m_exchanges.empty()) {
      return true;
    }
    const exchange& last = m_exchanges.back();
    return last.keep_alive && last.may_overlap && !m_caller_disconnected &&
           !m_state->keep_alive_disabled &&
           m_exchanges.size() < m_limits.max_pipelined &&
           m_state->overlapping < m_limits.max_overlapping;
  }

  void read_next() {
    if (m_closing || m_is_reading) {
      return;
    }
    if (m_buffer.size() > 0 && may_read_next()) {
      read_request();
      return;
    }
    if (m_exchanges.empty()) {
      if (m_buffer.capacity() > max_idle_buffer_bytes) {
        m_buffer.shrink_to_fit();
      }
      start_timer(m_read_timer, m_limits.idle_timeout,
                  &http_session::on_idle_timeout);
      set_idle(true);
    }
    wait_for_bytes();
  }

  /// While requests are handled, this wait is also what detects that the caller
  /// has disconnected.
  void wait_for_bytes() {
    if (m_is_waiting) {
      return;
    }
    m_is_waiting = true;
    const std::shared_ptr<http_session> self = shared_from_this();
    m_socket.async_wait(tcp::socket::wait_read,
                        [self](const error_code& ec) { self->on_bytes(ec); });
  }

  void on_bytes(const error_code& ec) {
    m_is_waiting = false;
    set_idle(false);
    if (ec || m_closing || m_is_reading) {
      return;
    }
    stop_timer(m_read_timer);
    if (m_exchanges.empty()) {
      read_request();
      return;
    }
    check_for_disconnect();
  }

  void check_for_disconnect() {
    if (m_exchanges.empty() || m_closing || m_caller_disconnected) {
      return;
    }
    if (is_disconnected(m_socket)) {
      on_caller_disconnected();
      return;
    }
    if (may_read_next()) {
      read_request();
      return;
    }
    // The bytes of a next request, left unread until this one is answered,
    // would end another wait at once.
    start_timer(m_read_timer, disconnect_check_period,
                &http_session::check_for_disconnect);
  }

  void on_caller_disconnected() {
    m_caller_disconnected = true;
    const std::shared_ptr<http_session> self = shared_from_this();
    for (exchange& it : m_exchanges) {
      it.held.reset();
    }
    if (m_hooks->on_disconnect) {
      m_hooks->on_disconnect(m_id);
    }
    for (exchange& it : m_exchanges) {
      if (!it.handling && !it.answer) {
        set_answer(it, refusal(reason::cancelled));
      }
    }
    write_next();
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
    stop_timer(m_read_timer);
    m_parser.emplace();
    m_parser->header_limit(
        static_cast<std::uint32_t>(m_limits.max_header_bytes));
    m_parser->body_limit(m_limits.max_body_bytes);
    m_parser->get().body().max_bytes = m_limits.max_body_bytes;
    m_timed_out = false;
    m_refused_for_memory = false;
    m_head_bytes = 0;
    set_reading(true);
    start_timer(m_read_timer, m_limits.request_timeout,
                &http_session::on_request_timeout);
    error_code ec;
    const std::size_t n = parse_buffered(m_buffer, *m_parser, ec);
    ec || m_parser->is_done() ? on_read_some(ec, n) : read_some();
  }

  void read_some() {
    m_read_pending = true;
    const std::shared_ptr<http_session> self = shared_from_this();
    async_read_part(m_socket, m_buffer, *m_parser,
                    [self](const error_code& ec, std::size_t n) {
                      self->m_read_pending = false;
                      if (self->m_closing) {
                        self->on_read_while_closing(n);
                        return;
                      }
                      self->on_read_some(ec, n);
                    });
  }

  void on_read_some(const error_code& ec, std::size_t n) {
    if (m_refused_for_memory) {
      end_read(ec);
      return;
    }
    if (!m_is_reading) {
      // The request was refused while this read was pending.
      return;
    }
    if (m_head_bytes == 0) {
      // The parser takes a head when it is complete.
      m_head_bytes = n;
    }
    set_request_bytes(m_buffer.capacity() + m_head_bytes +
                      m_parser->get().body().bytes.capacity());
    limit_request_bytes();
    if (m_refused_for_memory) {
      end_read(ec);
      return;
    }
    if (!ec && !m_parser->is_done()) {
      read_some();
      return;
    }
    end_read(ec);
  }

  void end_read(const error_code& ec) {
    set_reading(false);
    stop_timer(m_read_timer);
    if (std::exchange(m_refused_for_memory, false)) {
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
    m_refused_for_memory = true;
    set_request_bytes(0);
    set_reading(false);
    if (m_read_pending && !m_is_writing) {
      error_code ignored;
      m_socket.cancel(ignored);
    } else if (m_read_pending) {
      // A cancellation would end the write of an earlier answer.
      const std::shared_ptr<http_session> self = shared_from_this();
      asio::post(m_socket.get_executor(), [self] {
        if (!self->m_closing && self->m_refused_for_memory) {
          self->end_read(asio::error::operation_aborted);
        }
      });
    }
  }

  void on_request_timeout() {
    error_code ignored;
    m_timed_out = true;
    if (m_is_writing && m_socket.available(ignored) == 0) {
      // A cancellation would end the write of an earlier answer.
      end_read(asio::error::operation_aborted);
      return;
    }
    if (!m_is_writing) {
      m_socket.cancel(ignored);
    }
    // A read that had just completed continues: it is cancelled next time.
    start_timer(m_read_timer, m_limits.request_timeout,
                &http_session::on_request_timeout);
  }

  void on_read(const error_code& ec) {
    if (ec == asio::error::operation_aborted && m_timed_out) {
      refuse(reason::too_slow);
      return;
    }
    if (ec) {
      const std::optional<reason> why = reason_for(ec);
      if (why) {
        refuse(*why);
      } else if (m_exchanges.empty()) {
        close();
      } else if (!m_caller_disconnected) {
        on_caller_disconnected();
      }
      return;
    }
    http::request<bounded_body> request = m_parser->release();
    caller_request r;
    r.method = std::string(request.method_string());
    r.request_target = std::string(request.target());
    r.connection = m_id;
    for (const http::fields::value_type& it : request) {
      r.headers.push_back(
          {std::string(it.name_string()), std::string(it.value())});
    }
    r.body = std::move(request.body().bytes);
    exchange& e = add_exchange(request.keep_alive());
    e.is_head = request.method() == http::verb::head;
    e.request_bytes = std::exchange(m_request_bytes, 0);
    e.read_at = read_clocks().now;
    e.may_overlap = m_limits.max_pipelined > 1 && m_hooks->may_overlap &&
                    m_hooks->may_overlap(r);
    const bool is_alone = m_exchanges.size() == 1;
    if (is_alone || e.may_overlap) {
      pass_on(e, std::move(r));
    } else {
      e.held = std::move(r);
    }
    read_next();
  }

  exchange& add_exchange(bool keep_alive) {
    m_state->overlapping += m_exchanges.empty() ? 0 : 1;
    ++m_state->unanswered_requests;
    exchange e;
    e.number = ++m_last_exchange;
    e.keep_alive = keep_alive;
    m_exchanges.push_back(std::move(e));
    return m_exchanges.back();
  }

  void pass_on(exchange& e, caller_request r) {
    e.handling = true;
    r.waited = std::chrono::duration_cast<std::chrono::milliseconds>(
        read_clocks().now - e.read_at);
    const std::shared_ptr<http_session> self = shared_from_this();
    m_hooks->on_request(std::move(r), [self, number = e.number](outcome o) {
      self->respond(number, std::move(o));
    });
  }

  /// Refuses a request that could not be read. The connection ends with the
  /// refusal.
  void refuse(reason why, std::chrono::milliseconds retry_after = {}) {
    set_request_bytes(0);
    if (!m_read_pending) {
      m_parser.reset();
    }
    exchange& e = add_exchange(false);
    set_answer(e, refusal(why, verdict::not_run, retry_after));
    write_next();
  }

  void respond(std::uint64_t number, outcome o) {
    const auto it = std::find_if(
        m_exchanges.begin(), m_exchanges.end(),
        [number](const exchange& e) { return e.number == number; });
    if (it == m_exchanges.end() || !m_socket.is_open()) {
      return;
    }
    it->handling = false;
    m_state->request_bytes -= std::exchange(it->request_bytes, 0);
    set_answer(*it, std::move(o));
    write_next();
  }

  void set_answer(exchange& e, outcome o) {
    e.answer = m_hooks->encode(std::move(o));
    e.answer_bytes = e.answer->body.size();
    m_state->answer_bytes += e.answer_bytes;
    if (m_answers_held++ == 0) {
      m_position = m_state->answering.insert(m_state->answering.end(), this);
    }
    while (m_state->answer_bytes > m_limits.max_answer_bytes &&
           m_state->answering.front() != this) {
      m_state->answering.front()->cut("answer_memory");
    }
  }

  void uncount(exchange& e) {
    m_state->request_bytes -= std::exchange(e.request_bytes, 0);
    --m_state->unanswered_requests;
    if (e.answer) {
      m_state->answer_bytes -= e.answer_bytes;
      if (--m_answers_held == 0) {
        m_state->answering.erase(m_position);
      }
    }
  }

  void remove_front() {
    uncount(m_exchanges.front());
    m_exchanges.pop_front();
    m_state->overlapping -= m_exchanges.empty() ? 0 : 1;
  }

  void drop_exchanges() {
    while (!m_exchanges.empty()) {
      remove_front();
    }
  }

  /// Writes the answer to the oldest request, if it is there.
  void write_next() {
    if (m_is_writing || m_closing || m_exchanges.empty() ||
        !m_exchanges.front().answer) {
      return;
    }
    m_is_writing = true;
    exchange& e = m_exchanges.front();
    outcome& out = *e.answer;
    m_response = {};
    m_response.version(11);
    m_response.result(out.status);
    for (const header& it : out.headers) {
      m_response.insert(it.name, it.value);
    }
    // Requests that were passed on are answered before the connection closes.
    const bool is_last = m_exchanges.size() == 1;
    m_keep_open = e.keep_alive && !(is_last && m_state->keep_alive_disabled);
    m_response.keep_alive(m_keep_open);
    m_response.body() = std::move(out.body);
    m_response.prepare_payload();
    if (e.is_head) {
      m_response.body().clear();
    }
    if (!m_keep_open) {
      m_closing = true;
      set_idle(false);
      set_reading(false);
      set_request_bytes(0);
      stop_timer(m_read_timer);
    }
    m_serializer.emplace(m_response);
    write_response();
  }

  void write_response() {
    start_timer(m_write_timer, m_limits.answer_stall_timeout,
                &http_session::on_answer_stall);
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
    if (m_exchanges.empty()) {
      // Closed while the last bytes were being written.
      return;
    }
    if (!m_serializer->is_done()) {
      write_response();
      return;
    }
    stop_timer(m_write_timer);
    m_is_writing = false;
    m_serializer.reset();
    m_response = {};
    remove_front();
    if (!m_keep_open) {
      close_after_answer();
      return;
    }
    if (!m_exchanges.empty() && m_exchanges.front().held) {
      caller_request r = std::move(*m_exchanges.front().held);
      m_exchanges.front().held.reset();
      pass_on(m_exchanges.front(), std::move(r));
    }
    write_next();
    read_next();
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
    start_timer(m_write_timer, m_limits.answer_stall_timeout,
                &http_session::on_answer_stall);
  }

  void start_timer(session_timer& t, std::chrono::milliseconds timeout,
                   void (http_session::*action)()) {
    t.timer.expires_after(timeout);
    const std::uint64_t number = ++t.number;
    const std::weak_ptr<http_session> weak = shared_from_this();
    t.timer.async_wait([weak, &t, number, action](const error_code& ec) {
      const std::shared_ptr<http_session> self = weak.lock();
      if (!ec && self && t.number == number) {
        (self.get()->*action)();
      }
    });
  }

  static void stop_timer(session_timer& t) {
    ++t.number;
    t.timer.cancel();
  }

  bool in_handler() const {
    return std::any_of(m_exchanges.begin(), m_exchanges.end(),
                       [](const exchange& e) { return e.handling; });
  }

  /// Closes the connection; an event tells why if a caller that is still
  /// there does not get its answer.
  void cut(const std::string& why, const std::string& error = {}) {
    if (!m_exchanges.empty() && !m_caller_disconnected && m_hooks->log) {
      m_hooks->log(event_id::caller_connection_cut,
                   {{"why", why},
                    {"error", error},
                    {"connection", std::to_string(m_id)},
                    {"in_handler", in_handler() ? "yes" : "no"}});
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
    start_timer(m_read_timer, discard_timeout, &http_session::close);
    m_is_discarding = true;
    if (!m_read_pending) {
      discard_received();
    }
  }

  /// A read of a next request was pending when the last answer was chosen.
  void on_read_while_closing(std::size_t n) {
    m_discarded_bytes += n;
    if (m_is_discarding) {
      discard_received();
    }
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
    const bool cancels = in_handler() && !m_caller_disconnected;
    m_closing = true;
    set_idle(false);
    set_reading(false);
    set_request_bytes(0);
    drop_exchanges();
    error_code ignored;
    stop_timer(m_read_timer);
    stop_timer(m_write_timer);
    m_socket.shutdown(tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
    if (cancels && m_hooks->on_disconnect) {
      m_caller_disconnected = true;
      m_hooks->on_disconnect(m_id);
    }
  }

  tcp::socket m_socket;
  session_timer m_read_timer; ///< of the idle connection, or of a request
  session_timer m_write_timer;
  const server_limits m_limits;
  std::shared_ptr<const server_hooks> m_hooks;
  std::shared_ptr<http_server::shared_state> m_state;
  std::uint64_t m_id;
  boost::beast::flat_buffer m_buffer;
  std::optional<http::request_parser<bounded_body>> m_parser;
  /// In the order of the requests; the first one is answered next.
  std::deque<exchange> m_exchanges;
  std::uint64_t m_last_exchange = 0; ///< number of the last request
  http::response<byte_body> m_response;
  std::optional<http::response_serializer<byte_body>> m_serializer;
  std::size_t m_answers_held = 0;                     ///< of `m_exchanges`
  std::list<http_session*>::iterator m_position;      ///< if it holds answers
  std::list<http_session*>::iterator m_idle_position; ///< if it is idle
  bool m_is_idle = false;
  /// Of the request that is being read; counted in the shared state.
  std::size_t m_request_bytes = 0;
  std::size_t m_head_bytes = 0; ///< at most, of the request's head
  std::list<http_session*>::iterator m_reading_position; ///< if it is reading
  bool m_is_reading = false;
  bool m_read_pending = false; ///< a handler uses the buffer and the parser
  bool m_is_waiting = false;
  bool m_is_writing = false;
  bool m_refused_for_memory = false;
  int m_undelivered_bytes = 0;
  bool m_keep_open = false;
  /// The answer that is being written is the last one, or the socket is closed.
  bool m_closing = false;
  bool m_is_discarding = false;
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
