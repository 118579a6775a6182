//! What is sent where, and whether it may be.

use crate::policy::*;
use crate::*;

const PLACES_MOST: u32 = 3; // places asked for in a read

impl Policy {
    /// A writer without room for a place counts as full; another is asked while the prompt is read.
    pub(crate) fn on_earmarked(&mut self, id: RequestId, held: bool) {
        let Some(request) = self.requests.get_mut(&id).filter(|_| !held) else {
            return;
        };
        let (place, out) = (request.place.take(), request.out);
        place
            .and_then(|w| self.endpoints.get_mut(&w))
            .into_iter()
            .for_each(|w| w.refused_at = self.now);
        let more = out
            .filter(|o| o.stage == Role::Prefill && !request.ended && request.places < PLACES_MOST);
        if let Some(writer) = more.and_then(|o| self.choose_writer(id, o.endpoint)) {
            self.earmark(id, writer);
        }
    }

    pub(crate) fn advance(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let due = self.now >= self.last_call(&request.ask);
        let looking = request.look.is_some_and(|(_, until)| self.now < until); // its class waits with it
        if request.ended || (looking && !due) || request.out.is_some_and(|o| o.established || !due)
        {
            return;
        }
        // Without a state it takes a read and an answer, unless one server does both.
        let most = self.settings.max_attempts.unwrap_or(ATTEMPTS_MOST);
        let whole = |h: &Endpoint| {
            h.listed && (self.settings.decode_can_prefill || self.stage(h) == Role::Mixed)
        };
        let last_read = request.state.is_none() && request.attempts + 1 == most;
        let elapsed =
            request.attempts >= most || (last_read && !self.endpoints.values().any(whole));
        if due || elapsed || self.retry_deadline(request, None).is_none() {
            self.give_up(id);
            return;
        }
        if let Some((reader, _)) = request.state {
            if let Some(writer) = self.choose_writer(id, reader) {
                self.send(id, writer, Role::Decode, None);
            }
        } else if let Some((reader, writer)) = self.choose_lane(id) {
            let looks = self.look(id, reader);
            if !looks && reader == writer {
                self.send(id, reader, Role::Mixed, None);
            } else if !looks && self.send(id, reader, Role::Prefill, Some(writer)) {
                self.earmark(id, writer);
            }
        }
    }

    pub(crate) fn send(
        &mut self,
        id: RequestId,
        to: EndpointId,
        stage: Role,
        toward: Option<EndpointId>,
    ) -> bool {
        let until = |r: &Request| {
            Some((
                r.ask,
                self.retry_deadline(r, Some(self.endpoints.get(&to)?))?,
            ))
        };
        let Some((ask, retry_deadline)) = self.requests.get(&id).and_then(until) else {
            return false;
        };
        let weight = if stage == Role::Decode {
            0.0
        } else {
            self.read_weight(&ask, to)
        };
        let part = self.class_work(stage, ask.class, 1.0) / self.class_work(stage, ANY_CLASS, 1.0);
        let Some(endpoint) = self.endpoints.get_mut(&to) else {
            return false;
        };
        let run = PossibleExecution::at(&endpoint.spec, self.now);
        endpoint.cold_turn = [(self.now, part); 2];
        endpoint.held[0] += weight;
        endpoint.held[1] += f64::from(u8::from(stage != Role::Prefill));
        let pin = self.pin();
        let Some(request) = self.requests.get_mut(&id) else {
            return false;
        };
        // Half of what is left, so that another server can be tried.
        let half_left = |since: Micros| self.now + (since + pin - self.now) / 2;
        let write_by = request.state.map_or(retry_deadline, |(_, since)| {
            retry_deadline.min(half_left(since))
        });
        let (attempt, sent, established, overdue) = (request.attempts, self.now, false, None);
        request.out = Some(Out {
            attempt,
            endpoint: to,
            stage,
            sent,
            established,
            weight,
            toward,
            run,
            overdue,
        });
        request.attempts += 1;
        request.first_sent.get_or_insert(self.now);
        (request.holds, request.let_go_unfetched) = (true, false);
        request.place = toward.or(request.place); // its lane's writer, also where no place can be asked for
        toward
            .and_then(|w| self.endpoints.get_mut(&w))
            .into_iter()
            .for_each(|w| w.coming += 1.0);
        self.waiting.remove(&id);
        if stage == Role::Decode {
            self.out.push(Action::SetTimer {
                at: self.now + pin,
                key: TimerKey::Request(id),
            });
        } else {
            self.pace.room_span +=
                ((self.now - self.pace.room_at) as f64 - self.pace.room_span) * ROOM_STEP;
            self.pace.room_at = self.now;
        }
        self.out.push(Action::Send {
            id,
            endpoint: to,
            expires_at: ask.deadline,
            write_by,
        });
        true
    }

    pub(crate) fn earmark(&mut self, id: RequestId, writer: EndpointId) {
        let may = self.settings.slot_reservations && self.open(writer, false);
        let Some(request) = self.requests.get_mut(&id).filter(|_| may) else {
            return;
        };
        (request.place, request.places, request.holds) = (Some(writer), request.places + 1, true);
        self.out.push(Action::ReserveSlot {
            id,
            endpoint: writer,
        });
    }

    /// Whether it is open, of a kind that the request may go to, not set aside, and in reach of a repeat.
    pub(crate) fn takes(&self, id: EndpointId, request: &Request, home: bool) -> bool {
        // One that was chosen before may have left the list since.
        let Some(endpoint) = self.endpoints.get(&id) else {
            return false;
        };
        let aside = |key| {
            endpoint
                .fails
                .get(key)
                .is_some_and(|(_, until)| self.now < *until)
        };
        let fits = request.ask.allows(endpoint.spec.kind);
        let may_repeat = self.retry_deadline(request, Some(endpoint)).is_some();
        fits && may_repeat
            && self.open(id, home)
            && ![None, Some(request.ask.class)].iter().any(aside)
    }

    /// By when another attempt (at `to`, a reader too) must be written so that it cannot repeat an effect.
    pub(crate) fn retry_deadline(
        &self,
        request: &Request,
        to: Option<&Endpoint>,
    ) -> Option<Micros> {
        let until = RetryRule::of(self.class(&request.ask))
            .retry_deadline(request.ran, to.map(|h| &h.spec));
        until.filter(|until| self.now < *until)
    }
}
