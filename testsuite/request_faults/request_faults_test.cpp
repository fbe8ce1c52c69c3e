// Entry processes are killed, frozen and started again while workers answer
// wrongly: whatever callers get is true.

#include "harness/request_cluster.hpp"

#include <gtest/gtest.h>

#include <csignal>

namespace
{

using namespace dandeliontack::harness;

void wait_for_more(const load& callers, std::size_t requests)
{
    const auto before = callers.ended();
    EXPECT_TRUE(
        eventually([&] { return callers.ended() >= before + requests; }));
}

TEST(request_faults, answers_are_own_and_whole_and_refusals_true)
{
    request_cluster system(
        4, "[tickets]\npeers = 127.0.0.1\n[upstreams]\n"
           "entry_processes = 4\n");
    for (const auto* name : {"e0", "e1", "e2"})
        system.start_entry(name);
    for (const auto* name : {"w0", "w1"})
        system.set_worker(name, "mode=mix&seed=11&ms=400");
    load callers(
        system.entries, {.callers = 12,
                         .requests = 150,
                         .seed = 7,
                         .copies = 4,
                         .deadline = std::chrono::milliseconds(300)});
    wait_for_more(callers, 200);
    system.kill_entry("e0");
    system.start_entry("e3");
    wait_for_more(callers, 200);
    auto& frozen = system.system.entries.at("e1");
    frozen.process.send_signal(SIGSTOP);
    wait_for_more(callers, 12);
    frozen.process.send_signal(SIGCONT);
    system.set_worker("w2", "mode=error");
    wait_for_more(callers, 200);
    auto& stuck = system.system.workers.at("w3");
    stuck.send_signal(SIGSTOP);
    wait_for_more(callers, 50);
    stuck.send_signal(SIGCONT);
    system.system.workers.at("w1").send_signal(SIGKILL);
    wait_for_more(callers, 200);
    system.kill_entry("e2");
    system.set_worker("w3", "mode=mix&seed=13&ms=400");
    const auto seen = callers.finish();
    const auto breaches = check_history(seen, system.runs(), {.may_cut = true});
    EXPECT_EQ(breaches, std::vector<std::string>{});
    EXPECT_GT(count_of(seen, copy_end::answered), seen.size() / 4);
    EXPECT_GT(count_of(seen, copy_end::unknown), 20U);
}

} // namespace
