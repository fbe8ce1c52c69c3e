#include <dandeliontack/append_queue.hpp>
#include <dandeliontack/pause.hpp>

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace dandeliontack
{

namespace
{

namespace asio = boost::asio;
using records = append_queue::record_list;

constexpr auto append_time = std::chrono::milliseconds(2);

} // namespace

// Guards against a stale record overwriting a newer one: a record of orders
// that was built before an order but stored after it hid that order from the
// next owner. Found on bench day trouble-3 --seed 961146807480.
TEST(append_queue, concurrent_appends_never_store_older_state_after_newer)
{
    asio::io_context context(1);
    std::vector<std::string> stored;
    append_queue queue(
        context.get_executor(), [&](records list) -> asio::awaitable<bool> {
            co_await pause_for(context.get_executor(), append_time);
            std::ranges::transform(
                list, std::back_inserter(stored), &keyed_record::value);
            co_return true;
        });
    std::string state;
    const auto save = [&](char change) -> asio::awaitable<void> {
        state.push_back(change);
        const auto make = [&] { return records{{"key", state, 0}}; };
        co_await queue.append(make);
    };
    // The first append starts at once; its coroutine then queues a second one
    // while 'b' is waiting.
    const auto save_twice = [&]() -> asio::awaitable<void> {
        co_await save('a');
        co_await save('c');
    };
    asio::co_spawn(context, save_twice(), asio::detached);
    asio::co_spawn(context, save('b'), asio::detached);
    context.run();
    ASSERT_EQ(stored.size(), 3U);
    EXPECT_EQ(stored.back(), "abc");
    EXPECT_TRUE(std::ranges::is_sorted(stored, {}, &std::string::size));
    EXPECT_FALSE(queue.is_busy());
}

// Load pattern: a maintenance wave whose orders are recorded one by one, where
// an append takes as long as the time between two orders.
TEST(append_queue, waiting_appends_are_batched)
{
    asio::io_context context(1);
    std::vector<std::size_t> appends;
    append_queue queue(
        context.get_executor(), [&](records list) -> asio::awaitable<bool> {
            co_await pause_for(context.get_executor(), append_time);
            appends.push_back(list.size());
            co_return true;
        });
    int stored = 0;
    const auto save = [&]() -> asio::awaitable<void> {
        const auto make = [] { return records{{"key", "value", 0}}; };
        const bool done = co_await queue.append(make);
        stored += done ? 1 : 0;
    };
    constexpr int orders = 40;
    for (int i = 0; i < orders; ++i)
        asio::co_spawn(context, save(), asio::detached);
    context.run();
    EXPECT_EQ(stored, orders);
    EXPECT_EQ(appends, (std::vector<std::size_t>{1, orders - 1}));
}

// A failed append is reported to all callers of that batch and to no others.
TEST(append_queue, failed_batch_is_reported_only_to_its_callers)
{
    asio::io_context context(1);
    int appends = 0;
    append_queue queue(
        context.get_executor(), [&](records) -> asio::awaitable<bool> {
            co_await pause_for(context.get_executor(), append_time);
            co_return ++appends == 1;
        });
    std::vector<bool> stored;
    const auto save = [&]() -> asio::awaitable<void> {
        const auto make = [] { return records{{"key", "value", 0}}; };
        const bool done = co_await queue.append(make);
        stored.push_back(done);
    };
    for (int i = 0; i < 3; ++i)
        asio::co_spawn(context, save(), asio::detached);
    context.run();
    EXPECT_EQ(stored, (std::vector<bool>{true, false, false}));
}

} // namespace dandeliontack
