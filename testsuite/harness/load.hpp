#pragma once

#include "request_history.hpp"
#include <dandeliontack/endpoint.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace dandeliontack::harness
{

/// Stands in for the platform's balancer: which entry processes callers may
/// be sent to now. Safe to use from several threads.
class balancer
{
public:
    void add(const endpoint& where);
    void remove(const endpoint& where);
    std::vector<endpoint> ready() const;

private:
    mutable std::mutex mutex_;
    std::vector<endpoint> ready_;
};

/// What callers ask for.
struct load_options
{
    unsigned callers = 8;
    /// Requests of each caller.
    unsigned requests = 100;
    std::uint64_t seed = 1;
    /// Most copies that are sent of a non-idempotent request.
    unsigned copies = 3;
    std::chrono::milliseconds deadline = std::chrono::seconds(2);
    /// The requests' class.
    std::string rank = "normal";
    /// Begins each request's token, so that loads don't share tokens.
    std::string name;
};

/// Sends requests through a balancer from a thread of its own: half of them
/// idempotent, half with a ticket and in several copies, some together and
/// some one after the other, each to an entry process drawn by the seed.
class load
{
public:
    /// `entries` must outlive the load.
    load(const balancer& entries, load_options options);
    ~load();
    load(const load&) = delete;
    load& operator=(const load&) = delete;

    /// How many requests have ended.
    std::size_t ended() const;

    /// Lets each caller end with its present request.
    void stop();

    /// Waits for all requests and returns what the callers saw.
    std::vector<caller_record> finish();

private:
    struct core;
    std::unique_ptr<core> core_;
    std::thread thread_;
};

} // namespace dandeliontack::harness
