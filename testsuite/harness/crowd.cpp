#include "crowd.hpp"

#include <dandeliontack/http_connection.hpp>

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace dandeliontack::harness
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr std::size_t bytes_per_mb = 1024 * 1024;
// After this a crowd stops sending, whatever the other side does.
constexpr auto crowd_patience = std::chrono::seconds(20);
constexpr auto request_patience = std::chrono::seconds(5);

asio::awaitable<void> send_requests_in_turn(
    endpoint to, const request_crowd& what, std::size_t first,
    std::chrono::steady_clock::time_point until,
    std::map<unsigned, std::size_t>& answered)
{
    http_connection connection(co_await asio::this_coro::executor, to);
    for (std::size_t i = 0;
         i < what.requests && std::chrono::steady_clock::now() < until; ++i)
    {
        auto request = what.make(first + i);
        request.prepare_payload();
        auto result =
            co_await connection.exchange(std::move(request), request_patience);
        const auto* response = std::get_if<http_response>(&result);
        ++answered[response ? response->result_int() : 0];
    }
}

} // namespace

std::string repeat(const std::string& text, std::size_t times)
{
    std::string out;
    out.reserve(text.size() * times);
    for (std::size_t i = 0; i < times; ++i)
        out += text;
    return out;
}

attack connections_that_stay()
{
    return {
        .name = "connections_that_stay",
        .connections = more_than_descriptors,
        .opening = "",
        .repeated = "G",
        .bytes = 0};
}

attack heads_that_stop(const std::string& target)
{
    return {
        .name = "heads_that_stop",
        .connections = more_than_descriptors,
        .opening = "GET " + target + " HTTP/1.1\r\n",
        .repeated = "a: b\r\n",
        .bytes = 60};
}

attack bodies_that_stop(std::string name, const std::string& method_and_target)
{
    return {
        .name = std::move(name),
        .connections = many,
        .opening = method_and_target +
                   " HTTP/1.1\r\nhost: a\r\ncontent-length: " +
                   std::to_string(bytes_per_mb) + "\r\n\r\n",
        .repeated = std::string(bytes_per_mb / 16, 'x'),
        .bytes = bytes_per_mb - 1};
}

attack responses_that_are_never_read(const std::string& target)
{
    const auto get = "GET " + target + " HTTP/1.1\r\nhost: a\r\n\r\n";
    return {
        .name = "responses_that_are_never_read",
        .connections = many,
        .opening = get,
        .repeated = repeat(get, 20),
        .bytes = bytes_per_mb / 8};
}

class crowd::member
{
public:
    member(asio::io_context& context, const endpoint& to) : socket_(context)
    {
        boost::system::error_code ec;
        socket_.connect({asio::ip::make_address(to.address), to.port}, ec);
        socket_.non_blocking(true, ec);
        ended_ = static_cast<bool>(ec);
    }

    // Sends some bytes if the connection takes any; false once all is sent or
    // the connection has ended.
    bool send(const attack& what)
    {
        if (ended_ || (opened_ == what.opening.size() && sent_ >= what.bytes))
            return false;
        const bool opening = opened_ < what.opening.size();
        auto rest = opening ? std::string_view(what.opening).substr(opened_)
                            : std::string_view(what.repeated)
                                  .substr(sent_ % what.repeated.size());
        if (!opening)
            rest = rest.substr(0, what.bytes - sent_);
        if (!opening && what.step != 0)
            rest = rest.substr(0, what.step);
        boost::system::error_code ec;
        const auto count = socket_.write_some(asio::buffer(rest), ec);
        (opening ? opened_ : sent_) += count;
        ended_ = ec && ec != asio::error::would_block;
        return !ended_;
    }

    void reset()
    {
        boost::system::error_code ignored;
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        socket_.close(ignored);
    }

private:
    tcp::socket socket_;
    std::size_t opened_ = 0;
    std::size_t sent_ = 0;
    bool ended_ = false;
};

crowd::crowd(const endpoint& to, const attack& what) : what_(what)
{
    members_.reserve(what.connections);
    for (std::size_t i = 0; i < what.connections; ++i)
        members_.emplace_back(context_, to);
}

crowd::~crowd() = default;

void crowd::send()
{
    const auto until = std::chrono::steady_clock::now() + crowd_patience;
    bool sending = true;
    while (sending && std::chrono::steady_clock::now() < until)
    {
        sending = false;
        for (auto& one : members_)
            sending = one.send(what_) || sending;
    }
}

void crowd::reset()
{
    std::ranges::for_each(members_, &member::reset);
}

std::map<unsigned, std::size_t>
send_requests(const endpoint& to, const request_crowd& what)
{
    std::map<unsigned, std::size_t> answered;
    asio::io_context context(1);
    const auto until = std::chrono::steady_clock::now() + crowd_patience;
    for (std::size_t i = 0; i < what.connections; ++i)
        asio::co_spawn(
            context,
            send_requests_in_turn(to, what, i * what.requests, until, answered),
            asio::detached);
    context.run();
    return answered;
}

} // namespace dandeliontack::harness
