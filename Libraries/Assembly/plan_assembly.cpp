// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Assembly/assembly_state.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace vetchpost {

namespace {

/// Terms are far apart in the numbers of formations, so that a successor's are always higher.
constexpr std::uint64_t formationsPerTerm = 100000;
/// With fewer loads than this under way, loads that only prepare for a loss get their turn.
constexpr std::size_t idleStoreLoads = 2;

/// How soon a replica could serve a model: it ran it last, it has it staged, or it must load it.
enum class readiness { same_model, staged, must_load };

/// One round of planning.
class assembly_round
{
public:
    assembly_round(assembly_state &state, const assembly_view &view)
        : m_state(state)
        , m_view(view)
        , m_seen(groupsOf(view.directory, view.service))
    {
        std::erase_if(m_state.avoidedUntil, [&](const auto &entry) { return entry.second <= m_view.now; });
        while (!m_state.loads.empty() && m_view.now - m_state.loads.front() >= m_state.policy.loadWindow) {
            m_state.loads.pop_front();
        }
        noteDraining();
        std::erase_if(m_state.deadHeads, [&](const instance_id &id) { return find(id) == nullptr; });
        std::erase_if(m_state.stagings, [&](const auto &entry) { return isStagingOver(entry.first, entry.second); });
    }

    std::vector<replica_order> run()
    {
        adopt();
        closeStrays();
        std::vector<group_id> ids;
        for (const auto &[id, group] : m_state.groups) {
            ids.push_back(id);
        }
        for (const auto &id : ids) {
            advance(m_state.groups.at(id));
        }
        collectFree();
        if (!isSettled()) {
            return std::move(m_orders);
        }
        formGroups();
        preemptForLarger();
        formExtra();
        stageSpares();
        stageServing();
        return std::move(m_orders);
    }

private:
    void noteDraining()
    {
        for (const auto &[id, replica] : m_view.directory.replicas) {
            if (replica.isDraining) {
                m_state.drainingSince.try_emplace(id, m_view.now);
            }
        }
        std::erase_if(m_state.drainingSince, [&](const auto &entry) { return find(entry.first) == nullptr; });
    }

    // 1. What a predecessor left.

    /// Takes over the groups that are whole, and those that must be closed. Replicas of all others are free.
    void adopt()
    {
        if (m_state.hasAdopted) {
            return;
        }
        m_state.since = m_view.now;
        m_state.hasAdopted = true;
        for (const auto &seen : m_seen) {
            const auto *model = findModel(seen.model);
            const auto *head = seen.head();
            if (head == nullptr || model == nullptr) {
                continue;
            }
            const bool isWhole = static_cast<int>(seen.members.size()) == model->size
                && std::find(seen.members.begin(), seen.members.end(), nullptr) == seen.members.end();
            const bool isHolding = isHoldingRequests(*head);
            auto &group = m_state.groups[seen.id];
            group.id = seen.id;
            group.formed = seen.formed;
            group.model = seen.model;
            group.stageSince = m_view.now;
            // The predecessor's last order to open may have had no answer.
            group.isOpenInDoubt = true;
            for (const auto *member : seen.members) {
                planned_member planned;
                if (member != nullptr) {
                    planned.instance = member->id;
                    planned.address = member->address;
                    planned.hasJoined = true;
                }
                group.members.push_back(planned);
            }
            if (isHolding) {
                group.stage = assembly_stage::serving;
            } else if (!isWhole) {
                group.stage = assembly_stage::leaving;
            }
            decide(group, "adopted");
        }
    }

    /// A head that serves although it belongs to no planned group was opened by an old order that came late.
    void closeStrays()
    {
        for (const auto &seen : m_seen) {
            const auto *head = seen.head();
            if (head == nullptr || !isHoldingRequests(*head) || isAvoided(head->id)) {
                continue;
            }
            const auto planned = m_state.groups.find(seen.id);
            if (planned != m_state.groups.end() && planned->second.formed >= seen.formed) {
                continue;
            }
            replica_order order{order_kind::close, head->id, head->address, seen.id, seen.formed, {}, {}, close_method::cut};
            m_state.avoidedUntil[head->id] = m_view.now + m_state.policy.orderRetry;
            m_state.decisions.push_back(
                fmt::format("closing a head that no plan knows: group={} head={}", seen.id.value(), head->id.value()));
            m_orders.push_back(std::move(order));
        }
    }

    // 2. One step of each group.

    void advance(planned_group &group)
    {
        switch (group.stage) {
        case assembly_stage::joining:
            join(group);
            return;
        case assembly_stage::opening:
            open(group);
            return;
        case assembly_stage::serving:
            watch(group);
            return;
        case assembly_stage::closing:
            close(group);
            return;
        case assembly_stage::leaving:
            leave(group);
            return;
        }
    }

    void join(planned_group &group)
    {
        if (const auto problem = memberProblem(group); !problem.empty() || !group.why.empty()) {
            // It never opened: there is nothing to close.
            dissolve(group, problem.empty() ? group.why : problem);
            return;
        }
        auto &head = group.members.front();
        if (!head.hasJoined) {
            sendJoin(group, head);
            return;
        }
        bool areReady = true;
        for (auto &member : group.members) {
            if (!member.hasJoined) {
                sendJoin(group, member);
            }
            areReady = areReady && isReady(group, member);
        }
        if (areReady) {
            enter(group, assembly_stage::opening, "all members are ready");
            open(group);
        } else if (m_view.now - group.stageSince > joinPatience(group)) {
            dissolve(group, "it did not come together in time");
        }
    }

    void open(planned_group &group)
    {
        const auto &head = group.members.front();
        const auto state = stateOf(group, head);
        if (state == member_state::open) {
            enter(group, assembly_stage::serving, "the head is open");
            return;
        }
        const auto problem = memberProblem(group);
        if (!problem.empty() || !state || state == member_state::broken) {
            // The order to open may have been taken: the head must close before its members are used again.
            beginClose(group, close_method::cut, problem.empty() ? "the head lost its place" : problem);
            return;
        }
        auto &member = group.members.front();
        if (mayOrder(member)) {
            send(group, member, order_kind::open);
        }
    }

    void watch(planned_group &group)
    {
        if (group.isOpenInDoubt && m_view.now - group.stageSince > m_state.policy.latestOrder) {
            group.isOpenInDoubt = false;
        }
        const auto problem = memberProblem(group);
        if (!problem.empty()) {
            beginClose(group, isAnyoneLost(group) ? close_method::cut : close_method::finish, problem);
            return;
        }
        const auto state = stateOf(group, group.members.front());
        if (!state || state == member_state::broken || state == member_state::closing) {
            beginClose(group, close_method::cut, "the head no longer serves");
        } else if (state == member_state::ready) {
            enter(group, assembly_stage::opening, "the head was closed by somebody else");
        }
    }

    void beginClose(planned_group &group, close_method method, const std::string &why)
    {
        group.closing = method;
        group.hasTakenClose = false;
        group.headLostSince.reset();
        group.members.front().isOrderUnderWay = false;
        group.members.front().nextOrder = m_view.now;
        enter(group, assembly_stage::closing, why);
        close(group);
    }

    void close(planned_group &group)
    {
        auto &head = group.members.front();
        const auto *listed = find(head.instance);
        const auto state = stateOf(group, head);
        if (listed != nullptr && !m_view.suspects.contains(head.instance)) {
            group.headLostSince.reset();
            const bool isHolding = state == member_state::open || state == member_state::closing;
            // A head that is still ready may be about to open: only its answer to the order to close says that it will not.
            const bool mayStillOpen = state == member_state::ready && !group.hasTakenClose;
            if (!isHolding && !mayStillOpen) {
                dissolve(group, "its head is closed");
                return;
            }
        } else if (!group.headLostSince) {
            group.headLostSince = m_view.now;
        }
        const bool isWaitOver = group.headLostSince && m_view.now - *group.headLostSince >= m_state.policy.silentHeadWait;
        const bool isDead = m_view.confirmedDead.contains(head.instance);
        if (isWaitOver || (group.headLostSince && (group.hasTakenClose || isDead))) {
            m_state.deadHeads.insert(head.instance);
            dissolve(group, "its head is gone");
            return;
        }
        // A member that is lost meanwhile leaves nothing to wait for.
        const bool mustCutNow = group.closing == close_method::finish && isAnyoneLost(group);
        if (mustCutNow) {
            group.closing = close_method::cut;
            group.hasTakenClose = false;
        }
        if (!group.hasTakenClose && !head.instance.isEmpty() && mayOrder(head)) {
            send(group, head, order_kind::close);
        }
    }

    /// Waits until no late order can open the head any more; its members are kept until then.
    void leave(planned_group &group)
    {
        auto &head = group.members.front();
        const bool isGone = m_state.deadHeads.contains(head.instance) || m_view.confirmedDead.contains(head.instance);
        if (group.hasLeft || isGone || !stateOf(group, head)) {
            erase(group, "its head has left");
        } else if (mayOrder(head)) {
            send(group, head, order_kind::leave);
        }
    }

    void dissolve(planned_group &group, const std::string &why)
    {
        if (!group.isOpenInDoubt) {
            erase(group, why);
            return;
        }
        enter(group, assembly_stage::leaving, why);
        group.members.front().nextOrder = m_view.now;
        leave(group);
    }

    void erase(planned_group &group, const std::string &why)
    {
        decide(group, "dissolved: " + why);
        const auto id = group.id;
        m_state.groups.erase(id);
    }

    // 3. New groups out of free replicas.

    void collectFree()
    {
        std::set<instance_id> used;
        for (const auto &[id, group] : m_state.groups) {
            for (const auto &member : group.members) {
                used.insert(member.instance);
            }
        }
        for (const auto &seen : m_seen) {
            // Whatever the plan says: a replica whose head holds requests is not to be ordered elsewhere.
            if (seen.head() != nullptr && isHoldingRequests(*seen.head())) {
                for (const auto *member : seen.members) {
                    used.insert(member == nullptr ? instance_id() : member->id);
                }
            }
        }
        for (const auto &[id, replica] : m_view.directory.replicas) {
            if (replica.service != m_view.service) {
                continue;
            }
            if (!replica.isDraining && !m_view.suspects.contains(id)) {
                ++m_usable;
            }
            if (isAlive(id) && !used.contains(id) && !isAvoided(id)) {
                m_free[replica.domain].push_back(&replica);
                m_state.idleSince.try_emplace(id, m_view.now);
            } else {
                m_state.idleSince.erase(id);
            }
        }
        std::erase_if(m_state.idleSince, [&](const auto &entry) { return find(entry.first) == nullptr; });
    }

    bool isSettled()
    {
        if (m_usable != m_state.usable) {
            m_state.usable = m_usable;
            m_state.usableSince = m_view.now;
        }
        m_targets = groupTargets(m_view.engine, m_usable, m_state.policy.spareShare);
        return !m_view.isBeforeTraffic || m_view.now - m_state.usableSince >= m_state.policy.settleTime;
    }

    void formGroups()
    {
        for (;;) {
            const auto *model = neediestModel();
            if (model == nullptr || !formOne(*model)) {
                return;
            }
        }
    }

    /// The models, those of the largest groups first: they are the hardest to find room for.
    std::vector<const group_model *> modelsBySize() const
    {
        std::vector<const group_model *> models;
        for (const auto &model : m_view.engine.models) {
            models.push_back(&model);
        }
        std::stable_sort(
            models.begin(), models.end(), [](const group_model *left, const group_model *right) { return left->size > right->size; });
        return models;
    }

    /// The part of a model's wanted groups that is there, counting \a more besides.
    double presentPart(const group_model &model, int more = 0) const
    {
        const auto target = m_targets.at(model.id);
        return target == 0 ? 1.0 : static_cast<double>(presentGroups(model.id) + more) / target;
    }

    /// Whether there are replicas for all groups that are missing.
    bool isEnoughFree() const
    {
        std::size_t free = 0;
        for (const auto &[domain, replicas] : m_free) {
            free += replicas.size();
        }
        std::size_t missing = 0;
        for (const auto &model : m_view.engine.models) {
            const auto groups = std::max(0, m_targets.at(model.id) - presentGroups(model.id));
            missing += static_cast<std::size_t>(groups * model.size);
        }
        return missing <= free;
    }

    /// The model to form next: the largest groups first where there is room for all, since they need the most in one domain; else the model
    /// that has the smallest part of its groups.
    const group_model *neediestModel() const
    {
        const group_model *neediest = nullptr;
        const bool isEnough = isEnoughFree();
        double smallest = 1;
        for (const auto *model : modelsBySize()) {
            const auto part = presentPart(*model);
            if (part < smallest && bestDomain(*model) != nullptr) {
                if (isEnough) {
                    return model;
                }
                neediest = model;
                smallest = part;
            }
        }
        return neediest;
    }

    int presentGroups(const model_id &model) const
    {
        return static_cast<int>(std::count_if(m_state.groups.begin(), m_state.groups.end(), [&](const auto &entry) {
            const bool isEnding = entry.second.stage == assembly_stage::closing || entry.second.stage == assembly_stage::leaving;
            const bool isThere = !isEnding || m_view.now - entry.second.stageSince < m_state.policy.closingGrace;
            return entry.second.model == model && isThere;
        }));
    }

    /// Takes a group of a smaller model apart where its members have a larger model staged that lacks a few members there.
    void preemptForLarger()
    {
        for (const auto *model : modelsBySize()) {
            if (presentPart(*model) >= 1 || bestDomain(*model) != nullptr) {
                continue;
            }
            if (auto *victim = victimFor(*model)) {
                beginClose(*victim, close_method::finish, "its members complete a group of " + model->id.value());
                return;
            }
        }
    }

    /// Replicas that no wanted group can use serve as a group of a smaller model, more than wanted, rather than idle; where the larger
    /// model can use them later, they give way to it.
    void formExtra()
    {
        for (auto &[domain, free] : m_free) {
            if (isBusy(domain)) {
                continue;
            }
            for (const auto *model : modelsBySize()) {
                const auto size = static_cast<std::size_t>(model->size);
                const bool isNeedyElsewhere = presentPart(*model) < 1;
                if (free.size() >= size && !isNeedyElsewhere && quickCount(free, model->id) >= model->size) {
                    formIn(*model, domain);
                    break;
                }
            }
        }
    }

    /// Whether a group of the domain is being formed or closed, after which its replicas may be used better.
    bool isBusy(const fabric_domain_id &domain) const
    {
        return std::any_of(m_state.groups.begin(), m_state.groups.end(), [&](const auto &entry) {
            return entry.second.stage != assembly_stage::serving
                && std::any_of(entry.second.members.begin(), entry.second.members.end(), [&](const planned_member &member) {
                       const auto *replica = find(member.instance);
                       return replica != nullptr && replica->domain == domain;
                   });
        });
    }

    planned_group *victimFor(const group_model &model)
    {
        for (auto &[id, group] : m_state.groups) {
            const auto *smaller = findModel(group.model);
            const bool isCandidate = group.stage == assembly_stage::serving && smaller != nullptr && smaller->size < model.size
                && presentPart(*smaller, -1) >= presentPart(model) + m_state.policy.preemptionGain;
            const auto *head = find(group.members.front().instance);
            if (!isCandidate || head == nullptr || isBusy(head->domain)) {
                continue;
            }
            const auto free = m_free.find(head->domain);
            auto quick = free == m_free.end() ? 0 : quickCount(free->second, model.id);
            const bool isUseful = quick > 0;
            std::vector<const served_replica *> members;
            for (const auto &member : group.members) {
                if (const auto *replica = find(member.instance)) {
                    members.push_back(replica);
                }
            }
            quick += quickCount(members, model.id);
            if (isUseful && quick >= model.size) {
                return &group;
            }
        }
        return nullptr;
    }

    static int quickCount(const std::vector<const served_replica *> &replicas, const model_id &model)
    {
        return static_cast<int>(std::count_if(replicas.begin(), replicas.end(), [&](const served_replica *replica) {
            return readinessOf(*replica, model) != readiness::must_load;
        }));
    }

    /// Where a group would serve soonest; of equals, where most replicas are left over.
    const fabric_domain_id *bestDomain(const group_model &model) const
    {
        const fabric_domain_id *best = nullptr;
        std::pair<std::size_t, std::size_t> bestCost;
        for (const auto &[domain, replicas] : m_free) {
            const auto size = static_cast<std::size_t>(model.size);
            if (replicas.size() < size) {
                continue;
            }
            const auto chosen = soonest(replicas, model);
            const auto loads = static_cast<std::size_t>(std::count_if(chosen.begin(), chosen.end(), [&](const served_replica *replica) {
                return readinessOf(*replica, model.id) == readiness::must_load;
            }));
            // Later a replica loads beside all else and joins once it has the weights, so that the others need not wait for it.
            if (loads > 0 && !m_view.isBeforeTraffic) {
                continue;
            }
            const std::pair cost(loads, SIZE_MAX - replicas.size());
            if (best == nullptr || cost < bestCost) {
                best = &domain;
                bestCost = cost;
            }
        }
        return best;
    }

    std::vector<const served_replica *> soonest(std::vector<const served_replica *> replicas, const group_model &model) const
    {
        std::stable_sort(replicas.begin(), replicas.end(), [&](const served_replica *left, const served_replica *right) {
            return readinessOf(*left, model.id) < readinessOf(*right, model.id);
        });
        replicas.resize(static_cast<std::size_t>(model.size));
        // A replica that was a head stays one: an old order to open it then meets the new formation.
        std::stable_sort(replicas.begin(), replicas.end(), [](const served_replica *left, const served_replica *right) {
            return wasHead(*left) > wasHead(*right);
        });
        return replicas;
    }

    bool formOne(const group_model &model)
    {
        const auto *domain = bestDomain(model);
        if (domain == nullptr) {
            return false;
        }
        formIn(model, *domain);
        return true;
    }

    void formIn(const group_model &model, const fabric_domain_id &domain)
    {
        auto &free = m_free.at(domain);
        planned_group group;
        group.formed = formation(m_state.term * formationsPerTerm + ++m_state.lastNumber);
        group.id = group_id(fmt::format("g{}", group.formed.value()));
        group.model = model.id;
        group.stageSince = m_view.now;
        for (const auto *replica : soonest(free, model)) {
            planned_member member;
            member.instance = replica->id;
            member.address = replica->address;
            group.members.push_back(member);
            if (readinessOf(*replica, model.id) == readiness::must_load) {
                m_state.loads.push_back(m_view.now);
            }
            std::erase(free, replica);
        }
        auto &planned = m_state.groups[group.id] = std::move(group);
        decide(planned, fmt::format("forming in domain={}", domain.value()));
        join(planned);
    }

    // 4. Spares.

    /// What a domain lacks for one more group of a model.
    struct load_need
    {
        fabric_domain_id domain;
        const group_model *model = nullptr;
        /// Replicas that must still load the weights.
        int lacking = 0;
        /// The part of the model's wanted groups that is there.
        double part = 0;
    };

    /// Free replicas load what the next group of their domain lacks. The weight store feeds few loads at a time, so that those come first
    /// which complete a group soonest.
    void stageSpares()
    {
        if (m_view.engine.stagedPerHost < 1) {
            return;
        }
        for (const auto &need : loadNeeds()) {
            auto lacking = need.lacking;
            for (const auto *replica : m_free.at(need.domain)) {
                const bool isUsable = !m_state.stagings.contains(replica->id) && !m_claimed.contains(replica->id)
                    && readinessOf(*replica, need.model->id) == readiness::must_load;
                if (lacking > 0 && isUsable && mayLoad(1)) {
                    stage(*replica, need.model->id);
                    --lacking;
                }
            }
        }
    }

    /// The needs of all domains, the most pressing first. Replicas that are ready for a need are claimed by it.
    std::vector<load_need> loadNeeds()
    {
        std::vector<load_need> needs;
        for (const auto &[domain, replicas] : m_free) {
            for (const auto *model : modelsBySize()) {
                const bool hasRoom = static_cast<int>(replicas.size()) >= model->size;
                const auto ready = readyOrStaging(replicas, model->id);
                const auto lacking = hasRoom ? model->size - ready : std::min<int>(1, static_cast<int>(replicas.size()) - ready);
                if (lacking > 0) {
                    needs.push_back({domain, model, lacking, presentPart(*model) + (hasRoom ? 0 : 1)});
                }
            }
        }
        std::stable_sort(needs.begin(), needs.end(), [](const load_need &left, const load_need &right) {
            return std::pair(std::min(left.part, 1.0) + left.lacking, left.part)
                < std::pair(std::min(right.part, 1.0) + right.lacking, right.part);
        });
        claimReady();
        return needs;
    }

    /// Free replicas that are ready for a model whose groups are missing stay so for a while: a member that completes them may come.
    void claimReady()
    {
        for (const auto &[domain, replicas] : m_free) {
            for (const auto *replica : replicas) {
                const bool isIdleLong = m_view.now - m_state.idleSince.at(replica->id) > m_state.policy.idleGrace;
                const bool isNeeded = std::any_of(m_view.engine.models.begin(), m_view.engine.models.end(), [&](const group_model &model) {
                    return presentPart(model) < 1 && readinessOf(*replica, model.id) != readiness::must_load;
                });
                if (isNeeded && !isIdleLong) {
                    m_claimed.insert(replica->id);
                }
            }
        }
    }

    int readyOrStaging(const std::vector<const served_replica *> &replicas, const model_id &model) const
    {
        return static_cast<int>(std::count_if(replicas.begin(), replicas.end(), [&](const served_replica *replica) {
            const auto staging = m_state.stagings.find(replica->id);
            const bool isStaging = staging != m_state.stagings.end() && staging->second.model == model;
            return isStaging || readinessOf(*replica, model) != readiness::must_load;
        }));
    }

    /// Hosts of serving groups get another model's weights: what runs needs the host's copy no more, and the survivors of a loss can then
    /// form a group of that model within a second. First one host of every group, then the next.
    void stageServing()
    {
        std::size_t largest = 0;
        for (const auto &[id, group] : m_state.groups) {
            largest = std::max(largest, group.members.size());
        }
        for (std::size_t rank = 0; rank < largest && m_view.engine.stagedPerHost > 0; ++rank) {
            for (const auto &[id, group] : m_state.groups) {
                if (group.stage == assembly_stage::serving && rank < group.members.size() && isStoreIdle()) {
                    stageAnother(group, group.members[rank].instance);
                }
            }
        }
    }

    /// Whether a load that only prepares for a loss may begin: all that the store feeds at a time before the first request, few later.
    bool isStoreIdle() const
    {
        const auto most = m_view.isBeforeTraffic ? static_cast<std::size_t>(m_view.engine.concurrentLoads) : idleStoreLoads;
        return m_state.stagings.size() < most;
    }

    void stageAnother(const planned_group &group, const instance_id &instance)
    {
        const auto *replica = find(instance);
        const auto *other = otherModel(group.model);
        if (replica == nullptr || replica->isDraining || other == nullptr || m_state.stagings.contains(instance) || isAvoided(instance)) {
            return;
        }
        if (readinessOf(*replica, other->id) == readiness::must_load && mayLoad(1)) {
            stage(*replica, other->id);
        }
    }

    /// Of the other models the one with the largest share of the work.
    const group_model *otherModel(const model_id &model) const
    {
        const group_model *best = nullptr;
        for (const auto &entry : m_view.engine.models) {
            if (entry.id != model && (best == nullptr || entry.share > best->share)) {
                best = &entry;
            }
        }
        return best;
    }

    void stage(const served_replica &replica, const model_id &model)
    {
        m_state.loads.push_back(m_view.now);
        m_state.stagings[replica.id] = {model, m_view.now};
        m_state.decisions.push_back(fmt::format("staging: instance={} model={}", replica.id.value(), model.value()));
        m_orders.push_back({order_kind::stage, replica.id, replica.address, {}, {}, model, {}, {}});
    }

    // Queries.

    const served_replica *find(const instance_id &instance) const
    {
        const auto found = m_view.directory.replicas.find(instance);
        return found == m_view.directory.replicas.end() ? nullptr : &found->second;
    }

    bool isAlive(const instance_id &instance) const
    {
        const auto *replica = find(instance);
        return replica != nullptr && !replica->isDraining && !m_view.suspects.contains(instance);
    }

    bool isAvoided(const instance_id &instance) const
    {
        return m_state.avoidedUntil.contains(instance);
    }

    const group_model *findModel(const model_id &id) const
    {
        const auto &models = m_view.engine.models;
        const auto found = std::find_if(models.begin(), models.end(), [&](const group_model &model) { return model.id == id; });
        return found == models.end() ? nullptr : &*found;
    }

    bool isHoldingRequests(const served_replica &head) const
    {
        return head.membership->rank == 0 && !m_state.deadHeads.contains(head.id)
            && (head.membership->state == member_state::open || head.membership->state == member_state::closing);
    }

    static bool wasHead(const served_replica &replica)
    {
        return replica.membership && replica.membership->rank == 0;
    }

    /// The member's state where it says that it stands in this formation; nothing otherwise.
    std::optional<member_state> stateOf(const planned_group &group, const planned_member &member) const
    {
        const auto *replica = find(member.instance);
        const bool isHere = replica != nullptr && replica->membership && replica->membership->group == group.id
            && replica->membership->formed == group.formed;
        return isHere ? std::optional(replica->membership->state) : std::nullopt;
    }

    bool isReady(const planned_group &group, const planned_member &member) const
    {
        return member.hasJoined && stateOf(group, member) == member_state::ready;
    }

    /// Why a group cannot go on with these members; empty where it can.
    std::string memberProblem(const planned_group &group) const
    {
        for (const auto &member : group.members) {
            const auto *replica = find(member.instance);
            if (replica == nullptr) {
                return "a member is gone: " + member.instance.value();
            }
            if (replica->isDraining && mustReplaceNow(group, *replica)) {
                return "a member is about to leave: " + member.instance.value();
            }
            if (m_view.suspects.contains(member.instance)) {
                return "a member does not answer: " + member.instance.value();
            }
            const bool isElsewhere = replica->membership && replica->membership->formed > group.formed;
            if (isElsewhere) {
                return "a member stands in a later formation: " + member.instance.value();
            }
        }
        return {};
    }

    /// A leaving member stays while its head has work, for some seconds: its group serves on until a replacement is ready, or until shortly
    /// before the end. A leaving head takes nothing new.
    bool mustReplaceNow(const planned_group &group, const served_replica &leaving) const
    {
        if (leaving.id == group.members.front().instance || group.stage != assembly_stage::serving) {
            return true;
        }
        const auto since = m_state.drainingSince.find(leaving.id);
        if (since == m_state.drainingSince.end() || m_view.now - since->second >= m_state.policy.leavingStay) {
            return true;
        }
        return std::any_of(m_view.directory.replicas.begin(), m_view.directory.replicas.end(), [&](const auto &entry) {
            const auto &other = entry.second;
            return other.service == m_view.service && other.domain == leaving.domain && isUnused(other)
                && readinessOf(other, group.model) != readiness::must_load;
        });
    }

    /// Whether a live replica stands in no planned group.
    bool isUnused(const served_replica &replica) const
    {
        return isAlive(replica.id) && !isAvoided(replica.id)
            && std::none_of(m_state.groups.begin(), m_state.groups.end(), [&](const auto &entry) {
                   const auto &members = entry.second.members;
                   return std::any_of(
                       members.begin(), members.end(), [&](const planned_member &member) { return member.instance == replica.id; });
               });
    }

    bool isAnyoneLost(const planned_group &group) const
    {
        return std::any_of(group.members.begin(), group.members.end(), [&](const planned_member &member) {
            return find(member.instance) == nullptr || m_view.suspects.contains(member.instance);
        });
    }

    static readiness readinessOf(const served_replica &replica, const model_id &model)
    {
        if (replica.model == model) {
            return readiness::same_model;
        }
        const bool isStaged = std::find(replica.staged.begin(), replica.staged.end(), model) != replica.staged.end();
        return isStaged ? readiness::staged : readiness::must_load;
    }

    duration joinPatience(const planned_group &group) const
    {
        const auto *model = findModel(group.model);
        return m_state.policy.joinSlack + (model == nullptr ? duration() : 2 * model->loadTime);
    }

    bool isStagingOver(const instance_id &instance, const assembly_state::staging &staging) const
    {
        const auto *replica = find(instance);
        if (replica == nullptr) {
            return true;
        }
        const bool isThere = std::find(replica->staged.begin(), replica->staged.end(), staging.model) != replica->staged.end();
        const auto *model = findModel(staging.model);
        return isThere || model == nullptr || m_view.now - staging.since > m_state.policy.joinSlack + 2 * model->loadTime;
    }

    /// Whether so many more loads keep within the weight store's rate.
    bool mayLoad(std::size_t count) const
    {
        if (m_view.isBeforeTraffic) {
            return true;
        }
        if (m_state.stagings.size() + count > static_cast<std::size_t>(m_view.engine.concurrentLoads)) {
            return false;
        }
        const auto window = std::chrono::duration<double>(m_state.policy.loadWindow).count();
        // A predecessor's loads may have begun in the same window.
        const auto share = m_state.policy.loadRateShare * (m_view.now - m_state.since < m_state.policy.loadWindow ? 0.5 : 1);
        const auto most = std::max(1.0, m_view.engine.loadsPerSecond * window * share);
        return static_cast<double>(m_state.loads.size() + count) <= most;
    }

    /// How many orders a replica has taken: none where it has nothing to show for one.
    std::optional<std::uint64_t> ordersTaken(const instance_id &instance)
    {
        const auto known = m_state.ordersTaken.find(instance);
        if (known != m_state.ordersTaken.end()) {
            return known->second;
        }
        const auto *replica = find(instance);
        const bool isBlank = replica != nullptr && !replica->membership && !replica->model && replica->staged.empty();
        if (!isBlank || m_state.stagings.contains(instance)) {
            return std::nullopt;
        }
        m_state.ordersTaken[instance] = 0;
        return 0;
    }

    bool mayOrder(const planned_member &member) const
    {
        return !member.isOrderUnderWay && m_view.now >= member.nextOrder;
    }

    // Commands.

    void enter(planned_group &group, assembly_stage stage, const std::string &why)
    {
        group.stage = stage;
        group.stageSince = m_view.now;
        decide(group, fmt::format("{}: {}", assemblyStageName(stage), why));
    }

    void decide(const planned_group &group, const std::string &what)
    {
        std::string members;
        for (const auto &member : group.members) {
            members += (members.empty() ? "" : ",") + member.instance.value();
        }
        m_state.decisions.push_back(fmt::format("group={} model={} members={} {}", group.id.value(), group.model.value(), members, what));
    }

    void sendJoin(planned_group &group, planned_member &member)
    {
        if (mayOrder(member)) {
            send(group, member, order_kind::join);
        }
    }

    void send(planned_group &group, planned_member &member, order_kind kind)
    {
        replica_order order{kind, member.instance, member.address, group.id, group.formed, group.model, {}, group.closing};
        if (kind == order_kind::join) {
            const auto known = ordersTaken(member.instance);
            order.kind = known ? kind : order_kind::look;
            order.expectedOrders = known.value_or(0);
        }
        for (const auto &other : group.members) {
            order.members.push_back(other.instance);
        }
        member.isOrderUnderWay = true;
        m_orders.push_back(std::move(order));
    }

    assembly_state &m_state;
    const assembly_view &m_view;
    std::vector<seen_group> m_seen;
    std::vector<replica_order> m_orders;
    std::map<fabric_domain_id, std::vector<const served_replica *>> m_free;
    int m_usable = 0;
    std::map<model_id, int> m_targets;
    /// Free replicas that the next group of their domain needs as they are.
    std::set<instance_id> m_claimed;
};

} // namespace

std::vector<replica_order> planAssembly(assembly_state &state, const assembly_view &view)
{
    return assembly_round(state, view).run();
}

} // namespace vetchpost
