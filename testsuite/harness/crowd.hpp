#pragma once

#include <dandeliontack/endpoint.hpp>
#include <dandeliontack/http.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace dandeliontack::harness
{

/// What each connection of a crowd sends: `opening`, then `repeated` until
/// `bytes` are sent or the other side has ended the connection.
struct attack
{
    std::string name;
    std::size_t connections = 1;
    std::string opening;
    std::string repeated;
    std::size_t bytes = 0;
    /// The most bytes of one write; 0 for as many as fit.
    std::size_t step = 0;
    /// Whether the connection is reset once all is sent.
    bool resets = false;
    /// How often the crowd comes again.
    unsigned waves = 1;

    friend std::ostream& operator<<(std::ostream& out, const attack& what)
    {
        return out << what.connections << " connections";
    }
};

std::string repeat(const std::string& text, std::size_t times);

/// So many connections that each may hold a large message, and more than a
/// small machine has descriptors.
inline constexpr std::size_t many = 400;
inline constexpr std::size_t more_than_descriptors = 1500;

/// Crowds on any server of HTTP.
attack connections_that_stay();
attack heads_that_stop(const std::string& target);
/// The line names method and target. All but the last byte of a body of 1 MB.
attack bodies_that_stop(std::string name, const std::string& method_and_target);
attack responses_that_are_never_read(const std::string& target);

/// Connections that send without reading. They stay open until the object
/// goes.
class crowd
{
public:
    /// Connects. `what` must outlive the crowd.
    crowd(const endpoint& to, const attack& what);
    ~crowd();
    crowd(const crowd&) = delete;
    crowd& operator=(const crowd&) = delete;

    /// Sends until all is sent, all connections have ended, or nothing has
    /// helped for long.
    void send();
    void reset();

private:
    class member;

    const attack& what_;
    boost::asio::io_context context_;
    std::vector<member> members_;
};

/// Whole requests that many connections send, each one after the other.
struct request_crowd
{
    std::string name;
    std::size_t connections = 1;
    std::size_t requests = 1;
    /// The request with a number, counted over all connections.
    std::function<http_request(std::size_t number)> make;

    friend std::ostream& operator<<(std::ostream& out, const request_crowd& c)
    {
        return out << c.connections << " connections";
    }
};

/// Sends the requests and returns how many were answered with each status; 0
/// stands for no answer.
std::map<unsigned, std::size_t>
send_requests(const endpoint& to, const request_crowd& what);

} // namespace dandeliontack::harness
