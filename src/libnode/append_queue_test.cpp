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

// Found by the bench on trouble-3 --seed 961146807480: a record of orders that
// was made before an order and stored after it hid the order from a successor.
TEST(append_queue, stores_no_older_state_after_a_newer_one)
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
    // The first goes on at once and is ahead of the second, which waits.
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

// Pattern of load: a wave of upkeep whose orders are noted one by one, while
// each append takes as long as the time between two orders.
TEST(append_queue, stores_together_what_waits_together)
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

// An append that failed failed for all that shared it, and for nobody else.
TEST(append_queue, tells_each_what_became_of_its_own)
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
