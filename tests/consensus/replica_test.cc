#include <criterion/criterion.h>

#include "cluster.h"

namespace cranberryshunt::consensus {

namespace {

void CommitsAndPersists(int size) {
  Cluster cluster(size);
  cluster.StartAll();
  cr_assert(cluster.Commit("a"));
  cr_assert(cluster.Commit("b"));
  for (auto& it : cluster.nodes) {
    cr_assert(Eventually([&] { return it->observer->state() == "a;b;"; }),
              "%s has %s", it->id.c_str(), it->observer->state().c_str());
  }
  for (auto& it : cluster.nodes) {
    cluster.Stop(*it);
  }
  cluster.StartAll();
  cr_assert(cluster.Commit("c"));
  for (auto& it : cluster.nodes) {
    cr_assert(Eventually([&] { return it->observer->state() == "a;b;c;"; }),
              "%s has %s", it->id.c_str(), it->observer->state().c_str());
  }
}

}  // namespace

// Guards against entries that are lost over a restart.
Test(replica, one_member_persists) {
  CommitsAndPersists(1);
}
Test(replica, three_members_persist) {
  CommitsAndPersists(3);
}
Test(replica, five_members_persist) {
  CommitsAndPersists(5);
}

}  // namespace cranberryshunt::consensus
