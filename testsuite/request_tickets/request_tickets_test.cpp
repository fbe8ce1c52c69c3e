// A request that is not idempotent runs at most once, whichever entry process
// its copies reach.

#include "harness/cluster.hpp"
#include "harness/load.hpp"

#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <csignal>

namespace
{

using namespace dandeliontack;
using namespace dandeliontack::harness;
namespace http = boost::beast::http;

struct request_tickets : testing::Test
{
    request_tickets()
    {
        add_worker("w1");
        add_worker("w2");
        control = system.add_control("control-1").grpc;
        add_entry("entry-1");
        add_entry("entry-2");
        system.publish(
            system.controls.at("control-1").admin,
            "[pool a]\nhosts = w1, w2\n[service citations]\npool = a\n");
        for (const auto& [name, entry] : system.entries)
            EXPECT_TRUE(routes_to(entry, "citations", 2));
    }

    void add_worker(const std::string& name)
    {
        system.add_worker(
            name, {"--service_time=2ms",
                   "--history_file=" + history_of(name).string()});
    }

    std::filesystem::path history_of(const std::string& worker)
    {
        return system.folder.path() / (worker + ".history");
    }

    const endpoint& add_entry(const std::string& name)
    {
        return system
            .add_entry(
                name, control,
                "[tickets]\npeers = 127.0.0.1\n[upstreams]\n"
                "entry_processes = 3\n")
            .callers;
    }

    const endpoint& callers(const std::string& entry)
    {
        return system.entries.at(entry).callers;
    }

    std::string take_ticket(const std::string& entry)
    {
        return std::string(post(callers(entry), "/tickets")["tack-ticket"]);
    }

    http_response send(
        const std::string& entry, const std::string& ticket,
        const std::string& body = "1")
    {
        http_request request{http::verb::post, "/services/citations/r/1", 11};
        request.set(http::field::host, "test");
        request.set("tack-ticket", ticket);
        request.body() = body;
        return call(callers(entry), std::move(request));
    }

    static std::string outcome_of(const http_response& response)
    {
        return std::string(
            boost::json::parse(response.body()).at("outcome").as_string());
    }

    run_counts runs()
    {
        run_counts out;
        for (const auto* worker : {"w1", "w2"})
            read_runs(history_of(worker), out);
        return out;
    }

    cluster system;
    endpoint control;
};

TEST_F(request_tickets, copies_at_all_entry_processes_run_once)
{
    const auto ticket = take_ticket("entry-1");
    const auto first = send("entry-2", ticket);
    EXPECT_EQ(first.result(), http::status::ok) << first.body();
    for (const auto* entry : {"entry-1", "entry-2"})
        EXPECT_EQ(send(entry, ticket).body(), first.body());
    EXPECT_EQ(runs(), (run_counts{{"1", 1}}));
}

TEST_F(request_tickets, a_request_without_a_true_ticket_does_not_run)
{
    const auto missing = post(callers("entry-1"), "/services/citations/r/1");
    EXPECT_EQ(missing.result(), http::status::precondition_required);
    EXPECT_EQ(outcome_of(missing), "not-run");
    EXPECT_EQ(outcome_of(send("entry-1", "no ticket")), "not-run");
    // The address is not that of a listed peer.
    const std::string forged = "0123456789abcdef0123456789abcdef-"
                               "0123456789abcdef@10.255.255.1:80";
    EXPECT_EQ(outcome_of(send("entry-1", forged)), "unknown");
    EXPECT_EQ(runs(), run_counts{});
}

TEST_F(request_tickets, a_ticket_serves_one_body_only)
{
    const auto ticket = take_ticket("entry-1");
    EXPECT_EQ(send("entry-1", ticket, "a").result(), http::status::ok);
    const auto other = send("entry-2", ticket, "b");
    EXPECT_EQ(other.result(), http::status::unprocessable_entity);
    EXPECT_EQ(outcome_of(other), "not-run");
    EXPECT_EQ(runs(), (run_counts{{"1", 1}}));
}

TEST_F(request_tickets, a_copy_after_the_issuers_end_is_unknown)
{
    const auto unused = take_ticket("entry-1");
    const auto used = take_ticket("entry-1");
    EXPECT_EQ(send("entry-1", used).result(), http::status::ok);
    system.entries.at("entry-1").process.send_signal(SIGKILL);
    EXPECT_EQ(outcome_of(send("entry-2", used)), "unknown");
    EXPECT_EQ(outcome_of(send("entry-2", unused)), "unknown");
    EXPECT_EQ(runs(), (run_counts{{"1", 1}}));
}

TEST_F(request_tickets, tickets_work_while_the_log_is_down)
{
    system.set_fault("mode=down");
    const auto ticket = take_ticket("entry-2");
    EXPECT_EQ(send("entry-1", ticket).result(), http::status::ok);
    EXPECT_EQ(runs(), (run_counts{{"1", 1}}));
}

} // namespace
