// The choice of the peer that carries a request.

#include "dispatch/tunnel_peers.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace quaytrack {
namespace {

constexpr Instant kStart{std::chrono::hours(1)};
const VmName kSelf("vm-0");
const HallName kHall("hall-0");

// Peers 1 to `n`, all linked; every third is in the hall of this router.
std::vector<TunnelPeer> Peers(int n) {
  std::vector<TunnelPeer> out;
  for (int i = 1; i <= n; ++i) {
    TunnelPeer it;
    it.member.vm = VmName("vm-" + std::to_string(i));
    it.member.hall = HallName("hall-" + std::to_string(i % 3));
    it.is_linked = true;
    out.push_back(it);
  }
  return out;
}

// Guards against requests that are handed on in vain.
BOOST_AUTO_TEST_CASE(PeersThatAreCutOffOrWereTriedAreLeftOut) {
  const TunnelPeers peers(kSelf, kHall);
  auto all = Peers(2);
  all[0].is_cut_off = true;
  BOOST_TEST((peers.Choose(kStart, all, {})->member.vm == VmName("vm-2")));
  BOOST_TEST((peers.Choose(kStart, all, {VmName("vm-2")}) == nullptr));
}

// Guards against a router that is on its own list of candidates.
BOOST_AUTO_TEST_CASE(ARouterDoesntChooseItself) {
  const TunnelPeers peers(VmName("vm-1"), kHall);
  BOOST_TEST((peers.Choose(kStart, Peers(1), {}) == nullptr));
}

// Guards against time lost on routers that are gone.
BOOST_AUTO_TEST_CASE(LinkedPeersComeBeforeOthers) {
  const TunnelPeers peers(kSelf, kHall);
  auto all = Peers(3);
  for (TunnelPeer& it : all) it.is_linked = it.member.vm == VmName("vm-1");
  BOOST_TEST((peers.Choose(kStart, all, {})->member.vm == VmName("vm-1")));
}

// Guards against answers that end early behind a peer of an earlier version,
// which can't tell, while another one could carry them.
BOOST_AUTO_TEST_CASE(PeersThatHideTheEndComeAfterOthers) {
  TunnelPeers peers(kSelf, kHall);
  const auto all = Peers(2);
  const VmName first = peers.Choose(kStart, all, {})->member.vm;
  peers.OnOpened(kStart, first, false);
  BOOST_TEST((peers.Choose(kStart, all, {})->member.vm != first));
  peers.OnOpened(kStart, first, true);
  BOOST_TEST((peers.Choose(kStart, all, {})->member.vm == first));
}

// Guards against a peer that is overloaded, and traffic between halls.
BOOST_AUTO_TEST_CASE(TunnelsSpreadAndTheOwnHallIsPreferredUpToABound) {
  TunnelPeers peers(kSelf, kHall);
  const auto all = Peers(6);
  std::map<VmName, int> tunnels;
  for (int n = 0; n < 2 * TunnelPeers::kOtherHall; ++n) {
    const VmName vm = peers.Choose(kStart, all, {})->member.vm;
    peers.OnStarted(vm);
    ++tunnels[vm];
  }
  // Peers 3 and 6 are in the hall of this router.
  BOOST_TEST(tunnels[VmName("vm-3")] == TunnelPeers::kOtherHall);
  BOOST_TEST(tunnels[VmName("vm-6")] == TunnelPeers::kOtherHall);
  for (int n = 0; n < 6; ++n) {
    const VmName vm = peers.Choose(kStart, all, {})->member.vm;
    peers.OnStarted(vm);
    ++tunnels[vm];
  }
  for (const TunnelPeer& it : all) BOOST_TEST(tunnels[it.member.vm] > 0);
}

// Guards against a peer that each request tries in vain.
BOOST_AUTO_TEST_CASE(APeerThatFailsIsLeftOutEachTimeForLonger) {
  TunnelPeers peers(kSelf, kHall);
  const auto all = Peers(1);
  const VmName vm("vm-1");
  Instant now = kStart;
  Duration pause = TunnelPeers::kFirstPause;
  for (int n = 0; n <= TunnelPeers::kMaxDoublings; ++n, pause *= 2) {
    peers.OnFailed(now, vm);
    BOOST_TEST((peers.Choose(now + pause - Duration(1), all, {}) == nullptr));
    now += pause;
    BOOST_TEST((peers.Choose(now, all, {}) != nullptr));
  }
  peers.OnOpened(now, vm);
  peers.OnFailed(now, vm);
  BOOST_TEST(
      (peers.Choose(now + TunnelPeers::kFirstPause, all, {}) != nullptr));
}

// Routers that are cut off together would overload a peer that all choose.
BOOST_AUTO_TEST_CASE(RoutersChooseDifferentPeers) {
  const auto all = Peers(12);
  std::set<VmName> chosen;
  for (int n = 0; n < 40; ++n) {
    const TunnelPeers peers(VmName("cut-" + std::to_string(n)), kHall);
    chosen.insert(peers.Choose(kStart, all, {})->member.vm);
  }
  // Four peers are in the hall.
  BOOST_TEST(chosen.size() == 4U);
}

}  // namespace
}  // namespace quaytrack
