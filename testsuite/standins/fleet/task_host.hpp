#pragma once

#include <dandeliontack/http.hpp>

#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dandeliontack::standins
{

/// A host that runs tasks under leases and fencing tokens. A task runs for as
/// many milliseconds as its text says, and until it is stopped where that
/// begins with `lasting`; one whose text begins with `failing` fails.
class task_host
{
public:
    /// `ends_per_answer` is the most ends that a hold lists.
    task_host(std::string id, std::size_t ends_per_answer);

    http_response start(const http_request& request);
    http_response stop(const http_request& request);
    http_response hold(const http_request& request);
    /// Whether a hold would list an end that is not acknowledged.
    bool has_ends();

    /// Ends runs whose time or lease has come.
    void advance();
    /// What the host says of itself in the store.
    std::string entry(
        const std::string& pool, const std::string& address,
        std::uint64_t sequence) const;
    /// Every run that it ever began: task, run, begin, end and how, in ms of
    /// the steady clock that all hosts of the stand-in share.
    const boost::json::array& history() const;
    const std::string& id() const;

private:
    struct run
    {
        std::uint32_t number = 0;
        std::int64_t ends = 0;
        bool fails = false;
        std::size_t history = 0;
    };

    std::int64_t clock() const;
    void end(const std::string& task, std::string_view how);
    bool is_fenced(const boost::json::object& body);
    http_response answer(unsigned status, boost::json::object body) const;

    std::string id_;
    std::size_t ends_per_answer_;
    std::int64_t born_;
    std::chrono::steady_clock::time_point start_;
    std::uint64_t fence_ = 0;
    std::int64_t until_ = 0;
    std::map<std::string, run> running_;
    std::map<std::string, std::uint32_t> ended_run_;
    std::uint64_t ends_ = 0;
    boost::json::array finished_;
    boost::json::array history_;
};

} // namespace dandeliontack::standins
