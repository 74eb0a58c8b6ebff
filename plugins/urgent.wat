;; Tags each request of a depot as urgent on cut-off night: says `tag urgent yes` and `priority high` where the setting
;; `night` is `yes`. A whole plug-in of the hook's version 1; docs/operating/plugins.md has the rules.
(module
  (memory (export "memory") 2)
  (data (i32.const 0) "setting night yes\n")      ;; what is looked for, 18 bytes
  (data (i32.const 64) "tag urgent yes\npriority high\n") ;; what is said, 29 bytes
  (func (export "micastand_hook") (result i32) (i32.const 1))
  ;; One request at a time: its text always stands at 1024, and what does not fit traps.
  (func (export "alloc") (param $size i32) (result i32)
    (if (i32.gt_u (local.get $size) (i32.const 129000)) (then unreachable))
    (i32.const 1024))
  (func $at (param $p i32) (result i32)           ;; whether the line looked for stands here
    (local $i i32)
    (loop $next
      (if (i32.eq (local.get $i) (i32.const 18)) (then (return (i32.const 1))))
      (if (i32.ne (i32.load8_u (local.get $i)) (i32.load8_u (i32.add (local.get $p) (local.get $i))))
        (then (return (i32.const 0))))
      (local.set $i (i32.add (local.get $i) (i32.const 1)))
      (br $next))
    (unreachable))
  (func (export "on_request") (param $p i32) (param $n i32) (result i64)
    (local $end i32)
    (local.set $end (i32.add (local.get $p) (local.get $n)))
    (block $none
      (loop $line
        (br_if $none (i32.gt_u (i32.add (local.get $p) (i32.const 18)) (local.get $end)))
        (if (call $at (local.get $p))
          (then (return (i64.or (i64.shl (i64.const 64) (i64.const 32)) (i64.const 29)))))
        (loop $byte                                ;; to the next line
          (if (i32.lt_u (local.get $p) (local.get $end))
            (then
              (local.set $p (i32.add (local.get $p) (i32.const 1)))
              (br_if $byte (i32.ne (i32.load8_u (i32.sub (local.get $p) (i32.const 1))) (i32.const 10))))))
        (br $line)))
    (i64.const 0)))
