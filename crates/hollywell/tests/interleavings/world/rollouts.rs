//! Simulated operators' edits, trainers, engines and orders to load weights.

use arbtest::arbitrary::{Result, Unstructured};
use hollywell::{
    core::{
        effect::Order,
        member::Load,
        rollout,
        table::{Edit, Row},
    },
    prelude::{Dispatch, Event},
};

use super::{Action, Engine, World};
use crate::node::Waiter;

impl World {
    pub(super) fn edit_row(&mut self, trainer: u64, u: &mut Unstructured<'_>) -> Result<()> {
        let node = u.int_in_range(0..=self.nodes.len() - 1)?;
        if !self.nodes[node].is_open() {
            if self.trainer.needs_row() {
                self.after(100, Action::EditRow { trainer });
            }
            return Ok(());
        }
        self.edits += 1;
        let name = format!("t{trainer}");
        let row = Row {
            trainer: name.clone(),
            weight: 1,
            staleness: u.int_in_range(0..=2)?,
            priority: 0,
            in_flight: 3,
        };
        let edit = Edit {
            id: format!("e{}", self.edits),
            by: format!("o{node}"),
            base: self.nodes[node].state.agreed().table.base_of(&name),
            trainer: name,
            row: Some(row),
        };
        let waiter = Waiter::Operator { trainer: edit.trainer.clone(), base: edit.base };
        let request = self.nodes[node].new_request(waiter);
        let run = self.nodes[node].run;
        self.trainer.row_edited();
        self.after(1, Action::Event { node, run, event: Event::Edit { request, edit } });
        Ok(())
    }

    pub(super) fn report_load(&mut self, node: usize, u: &mut Unstructured<'_>) -> Result<()> {
        for engine_index in 0..self.engines.len() {
            let engine = &self.engines[engine_index];
            let load = Load {
                slots: 4,
                versions: [(String::from("t0"), engine.version)].into(),
                ..Load::default()
            };
            let run = self.nodes[node].run;
            let delay = self.delay(u)?;
            let version = self.trainer.newest_version();
            let version_event = Event::Version { trainer: String::from("t0"), version };
            self.after(delay, Action::Event { node, run, event: version_event });
            let event = Event::Loaded { target: format!("e{engine_index}"), load: Some(load) };
            self.after(delay, Action::Event { node, run, event });
        }
        Ok(())
    }

    pub(super) fn open_step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let node = u.int_in_range(0..=self.nodes.len() - 1)?;
        if self.trainer.is_open() {
            return Ok(());
        }
        if !self.nodes[node].is_open() {
            self.after(100, Action::OpenStep);
            return Ok(());
        }
        let run = self.nodes[node].run;
        let request = self.nodes[node].new_request(Waiter::Trainer);
        let opening = self.trainer.open(node, run, request, 6_000);
        self.after(1, Action::Event { node, run, event: Event::StepOpened { request, opening } });
        Ok(())
    }

    pub(super) fn generation_ended(
        &mut self,
        node: usize,
        run: u64,
        dispatch: Dispatch,
        engine: usize,
        began: u64,
        u: &mut Unstructured<'_>,
    ) -> Result<()> {
        let versions = versions_between(&self.engines[engine], began, self.now);
        let end = if self.chance(u, 12)? {
            rollout::End::Broken
        } else if self.chance(u, 20)? {
            rollout::End::Complete(vec![])
        } else {
            self.trainer.record_generated(dispatch, (node, run), versions.clone());
            rollout::End::Complete(versions)
        };
        let delay = self.delay(u)?;
        let event = Event::SampleEnded { dispatch, end };
        if self.chance(u, 15)? {
            let event = event.clone();
            self.after(delay + 40, Action::Event { node, run, event });
        }
        self.after(delay, Action::Event { node, run, event });
        Ok(())
    }

    pub(super) fn order_arrived(
        &mut self,
        node: usize,
        run: u64,
        order: &Order,
        engine_index: usize,
        u: &mut Unstructured<'_>,
    ) -> Result<()> {
        let fails = self.chance(u, 6)?;
        let now = self.now;
        let engine = &mut self.engines[engine_index];
        let fenced = engine.checks_fence && order.fence < engine.fence;
        engine.fence = engine.fence.max(order.fence);
        let taken = !fails && !fenced;
        if taken && engine.version != order.version {
            engine.version = order.version;
            engine.served.push((now, order.version));
        }
        self.checks.order(now, engine_index, order, fenced);
        let event = Event::OrderEnded { target: format!("e{engine_index}"), taken };
        self.after(5, Action::Event { node, run, event });
        Ok(())
    }
}

/// Returns the versions that an engine served from `began` to `ended`, in
/// order.
fn versions_between(engine: &Engine, began: u64, ended: u64) -> Vec<u64> {
    let before = engine.served.iter().rev().find(|(at, _)| *at <= began);
    let mut versions = vec![before.map_or(0, |(_, version)| *version)];
    let during = engine.served.iter().filter(|(at, _)| *at > began && *at <= ended);
    versions.extend(during.map(|(_, version)| *version));
    versions
}
