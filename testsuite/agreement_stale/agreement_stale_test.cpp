// A pool that says `refuse` gets no requests while the configuration can't be
// confirmed to be current; one that says `serve` goes on.

#include "harness/control_group.hpp"

#include <boost/beast/http.hpp>
#include <gtest/gtest.h>

#include <csignal>

namespace
{

using namespace dandeliontack;
using namespace dandeliontack::harness;
namespace http = boost::beast::http;

const char* const configuration =
    "[pool tower]\nhosts = w1\nstaleness_bound = 2s\nwhen_stale = refuse\n"
    "[pool office]\nhosts = w2\nstaleness_bound = 2s\nwhen_stale = serve\n"
    "[service climbs]\npool = tower\n[service letters]\npool = office\n";

http_response ask(const entry_process& entry, const std::string& service)
{
    return get(entry.callers, "/services/" + service + "/x");
}

bool comes_to_answer(
    const entry_process& entry, const std::string& service, http::status status)
{
    return eventually([&] { return ask(entry, service).result() == status; });
}

struct one_site
{
    one_site()
    {
        for (const auto* name : {"w1", "w2"})
            system.add_worker(name);
        add_controls(system, 1);
        entry = &system.add_entry("e1", control().grpc);
        system.publish(control().admin, configuration);
    }

    const control_process& control() const
    {
        return system.controls.at("c1");
    }

    void expect_served() const
    {
        for (const auto* service : {"climbs", "letters"})
            EXPECT_TRUE(comes_to_answer(*entry, service, http::status::ok))
                << service;
    }

    void expect_refused() const
    {
        EXPECT_TRUE(comes_to_answer(
            *entry, "climbs", http::status::service_unavailable));
        const auto refusal = ask(*entry, "climbs").body();
        EXPECT_NE(refusal.find("not-run"), std::string::npos) << refusal;
        EXPECT_NE(refusal.find("state not confirmed"), std::string::npos);
        EXPECT_EQ(ask(*entry, "letters").result(), http::status::ok);
    }

    cluster system;
    entry_process* entry = nullptr;
};

TEST(agreement_stale, refused_while_the_log_is_down)
{
    one_site site;
    site.expect_served();
    site.system.set_fault("mode=down");
    site.expect_refused();
    site.system.set_fault("mode=none");
    site.expect_served();
}

TEST(agreement_stale, refused_while_the_control_process_is_frozen)
{
    one_site site;
    site.expect_served();
    site.control().process.send_signal(SIGSTOP);
    site.expect_refused();
    site.control().process.send_signal(SIGCONT);
    site.expect_served();
}

} // namespace
