#include <dandeliontack/client_account.hpp>

#include <gtest/gtest.h>

namespace dandeliontack
{

namespace
{

using add_result = account_table::add_result;

client_account account(std::string name)
{
    client_account out;
    out.name = std::move(name);
    return out;
}

} // namespace

TEST(client_account, a_key_selects_the_account_that_it_was_added_with)
{
    account_table table;
    EXPECT_EQ(table.add(account("a"), {"k1", "k2"}), add_result::added);
    EXPECT_EQ(table.add(account("b"), {"k3"}), add_result::added);
    ASSERT_NE(table.find_by_key("k2"), nullptr);
    EXPECT_EQ(table.find_by_key("k2")->name, "a");
    EXPECT_EQ(table.find_by_key("k3")->name, "b");
    EXPECT_EQ(table.find("b")->name, "b");
    EXPECT_EQ(table.keys(), 3U);
}

TEST(client_account, keys_that_differ_in_any_byte_are_unknown)
{
    account_table table;
    table.add(account("a"), {"key"});
    for (const auto* key : {"", "ke", "key ", "KEY", "keys", "a"})
        EXPECT_EQ(table.find_by_key(key), nullptr) << key;
    EXPECT_EQ(table.find("key"), nullptr);
}

TEST(client_account, an_account_without_keys_is_known_by_name_only)
{
    account_table table;
    EXPECT_EQ(table.add(account("a"), {}), add_result::added);
    EXPECT_NE(table.find("a"), nullptr);
    EXPECT_EQ(table.keys(), 0U);
}

TEST(client_account, a_rejected_account_leaves_the_table_unchanged)
{
    account_table table;
    table.add(account("a"), {"k1"});
    EXPECT_EQ(table.add(account("a"), {"k2"}), add_result::duplicate_name);
    EXPECT_EQ(table.add(account("b"), {"k2", "k1"}), add_result::duplicate_key);
    EXPECT_EQ(table.add(account("c"), {"k3", "k3"}), add_result::duplicate_key);
    EXPECT_EQ(table.accounts().size(), 1U);
    EXPECT_EQ(table.find_by_key("k2"), nullptr);
    EXPECT_EQ(table.find_by_key("k3"), nullptr);
    EXPECT_EQ(table.find("b"), nullptr);
}

} // namespace dandeliontack
