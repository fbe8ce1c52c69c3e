// Tests store_client::load against a store that lists two records a page.

#include "local_store.hpp"
#include "node_fixture.hpp"
#include <dandeliontack/store_client.hpp>

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <limits>

namespace dandeliontack
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using namespace std::chrono_literals;

constexpr unsigned first_number = 1000;

class listing_store : public test::local_store
{
public:
    using local_store::local_store;

    unsigned pages = 1;
    /// Every other request is refused.
    bool is_busy = false;

private:
    http_response answer(const std::string& target) override
    {
        if (is_busy && requests_++ % 2 == 0)
            return make_response(
                http::status::too_many_requests, "text/plain", {});
        constexpr std::string_view after = "after=";
        const auto at = target.find(after);
        const unsigned number = at == std::string::npos
                                    ? first_number
                                    : static_cast<unsigned>(std::stoul(
                                          target.substr(at + after.size()))) +
                                          1;
        json::array items;
        for (const auto key : {number, number + 1})
            items.push_back(
                {{"key", std::to_string(key)},
                 {"value", "YQ=="},
                 {"offset", key}});
        return make_response(
            http::status::ok, "application/json",
            json::serialize(json::object{
                {"items", std::move(items)},
                {"hasMore", (number - first_number) / 2 + 1 < pages},
                {"endOffset", first_number}}));
    }

    unsigned requests_ = 0;
};

class store_load : public test::node_fixture
{
protected:
    store_load()
    {
        settings_.store.address = store.address;
    }

    std::optional<std::vector<keyed_record>>
    load(std::chrono::milliseconds longest)
    {
        std::optional<std::vector<keyed_record>> loaded;
        bool ended = false;
        asio::co_spawn(
            context_, client_.load({"keyed.part", 0}, longest),
            [&](const std::exception_ptr&,
                std::optional<std::vector<keyed_record>> records) {
                loaded = std::move(records);
                ended = true;
            });
        while (!ended)
            context_.run_one();
        return loaded;
    }

    listing_store store{context_};
    store_client client_{node_};
};

} // namespace

TEST_F(store_load, pages_that_fail_are_asked_for_again)
{
    store.pages = 3;
    store.is_busy = true;
    const auto records = load(1min);
    ASSERT_TRUE(records);
    EXPECT_EQ(records->size(), 6U);
    EXPECT_TRUE(std::ranges::is_sorted(*records, {}, &keyed_record::key));
}

// Guards against a takeover that never ends: each page had the time of the
// whole load, and only a page that failed was asked for the time that is left.
TEST_F(store_load, ends_in_time_though_every_page_comes)
{
    store.pages = std::numeric_limits<unsigned>::max();
    EXPECT_FALSE(load(200ms));
}

} // namespace dandeliontack
